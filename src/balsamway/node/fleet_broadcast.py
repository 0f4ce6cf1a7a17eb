"""Sends the leader's messages to all entry hosts, through relays."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgpack

from balsamway.clock import now
from balsamway.node.messages import RelayedMessage
from balsamway.node.zone_relays import ZoneRelays
from balsamway.peers.codec import Frame, UnknownMessageError, decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from balsamway.keyspace.known_host import KnownHost
    from balsamway.peers.stream_peers import StreamPeers

RELAY_HEARD_SECONDS = 1.0
"""How long after its last message a relay is reported as in use. The leader
confirms the store's progress each 0.4 s."""

logger = logging.getLogger(__name__)


class FleetBroadcast:
    """Sends a message to all hosts as leader, and passes it on as relay."""

    def __init__(
        self,
        host: str,
        peers: StreamPeers,
        addresses: dict[str, str],
        hosts: Callable[[], Mapping[str, KnownHost]],
    ) -> None:
        """Register the handler of relayed messages.

        Args:
            host: The name of this host.
            peers: The connections to the other entry hosts.
            addresses: The known peer addresses, by host name. Those of the
                hosts that a message is passed on to are added.
            hosts: Returns the hosts that reported to this host as leader.
        """
        self._host = host
        self._peers = peers
        self._addresses = addresses
        self._hosts = hosts
        self._zone_relays = ZoneRelays()
        self._relay = ""
        self._relay_heard_at = float("-inf")
        peers.register_handler(RelayedMessage, self._on_relayed)

    @property
    def relay(self) -> str:
        """The host through which the leader's messages arrive.

        Empty if they come from the leader itself, or if none came lately.
        """
        is_recent = now() - self._relay_heard_at < RELAY_HEARD_SECONDS
        return self._relay if is_recent else ""

    def send(self, message: Any) -> None:
        """Send a message to all other hosts that this host knows as leader.

        Args:
            message: A registered message.
        """
        others = {
            name: host for name, host in self._hosts().items() if name != self._host
        }
        fan_out = self._zone_relays.plan(others)
        encoded = encode(Frame(0, False, message))
        for name in fan_out.direct:
            self._peers.send_encoded(name, encoded)
        for relay, addresses in fan_out.relayed.items():
            self._peers.send(relay, RelayedMessage(dict(addresses), encoded))

    def on_received(self, sender: str, leader: str) -> None:
        """Record from which host a message of the leader arrived.

        A message that the leader sent itself does not mean that the relay is
        lost: both may send for a while after a change of the relay.

        Args:
            sender: The host that sent the message to this one.
            leader: The leader that the message names.
        """
        if sender != leader:
            self._relay, self._relay_heard_at = sender, now()

    async def _on_relayed(self, sender: str, message: RelayedMessage) -> None:
        self._addresses.update(message.hosts)
        for name in message.hosts:
            self._peers.send_encoded(name, message.encoded)
        try:
            frame = decode(msgpack.unpackb(message.encoded, strict_map_key=False))
        except (UnknownMessageError, ValueError) as error:
            logger.warning(
                "relayed-message-unreadable",
                extra={"sender": sender, "reason": str(error)},
            )
            return
        self._peers.send(self._host, frame.message)
