"""Sends the leader's messages to all entry hosts, through relays."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgpack

from balsamway.clock import now
from balsamway.node.messages import RelayAnnouncement, RelayedMessage
from balsamway.node.zone_relays import ZoneRelays
from balsamway.peers.codec import Frame, UnknownMessageError, decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from balsamway.keyspace.known_host import KnownHost
    from balsamway.peers.stream_peers import StreamPeers

ANNOUNCEMENT_INTERVAL_SECONDS = 0.25
"""The interval at which a relay tells the hosts of its zone its address, while
it gets messages to pass on."""
RELAY_HEARD_SECONDS = 1.0
"""How long after its last message a relay is reported as in use. The leader
confirms the store's progress each 0.4 s."""

logger = logging.getLogger(__name__)


class FleetBroadcast:
    """Sends a message to all hosts as leader, and passes it on as relay."""

    def __init__(
        self,
        host: str,
        address: str,
        peers: StreamPeers,
        addresses: dict[str, str],
        hosts: Callable[[], Mapping[str, KnownHost]],
    ) -> None:
        """Register the handler of relayed messages.

        Args:
            host: The name of this host.
            address: The address where this host listens for its peers.
            peers: The connections to the other entry hosts.
            addresses: The known peer addresses, by host name. Those of the
                hosts that a message is passed on to are added.
            hosts: Returns the hosts that reported to this host as leader.
        """
        self._host = host
        self._address = address
        self._peers = peers
        self._addresses = addresses
        self._hosts = hosts
        self._zone_relays = ZoneRelays()
        self._relay = ""
        self._relay_heard_at = float("-inf")
        self._announced_at = float("-inf")
        peers.register_handler(RelayedMessage, self._on_relayed)
        peers.register_handler(RelayAnnouncement, self._on_announcement)

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

    async def _on_announcement(
        self, sender: str, announcement: RelayAnnouncement
    ) -> None:
        self._addresses[sender] = announcement.address
        self._relay, self._relay_heard_at = sender, now()

    async def _on_relayed(self, sender: str, message: RelayedMessage) -> None:
        self._addresses.update(message.hosts)
        for name in message.hosts:
            self._peers.send_encoded(name, message.encoded)
        self._relay, self._relay_heard_at = self._host, now()
        if now() - self._announced_at >= ANNOUNCEMENT_INTERVAL_SECONDS:
            self._announced_at = now()
            encoded = encode(Frame(0, False, RelayAnnouncement(self._address)))
            for name in message.hosts:
                self._peers.send_encoded(name, encoded)
        try:
            frame = decode(msgpack.unpackb(message.encoded, strict_map_key=False))
        except (UnknownMessageError, ValueError) as error:
            logger.warning(
                "relayed-message-unreadable",
                extra={"sender": sender, "reason": str(error)},
            )
            return
        self._peers.send(self._host, frame.message)
