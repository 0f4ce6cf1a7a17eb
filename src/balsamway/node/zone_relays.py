"""Chooses the hosts that pass the leader's messages on in their zones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import xxhash

from balsamway.clock import now
from balsamway.node.fan_out import FanOut

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.keyspace.known_host import KnownHost

MIN_HOSTS = 17
"""The number of entry hosts from which relays are used. The leader's messages,
and the traffic between zones that is paid for, grow with the number of hosts.
With few hosts that is less than what a lost relay costs."""
MIN_HOSTS_IN_ZONE = 4
"""The number of hosts in a zone from which it has a relay."""
RELAY_TIMEOUT_SECONDS = 1.2
"""How long after its last report a relay is replaced. A host that became a
relay just now reports after 0.8 s at the latest."""

logger = logging.getLogger(__name__)


class ZoneRelays:
    """Divides the leader's messages among relays, one for each zone.

    A host gets the messages from the leader itself until the relay reports
    for it, which shows that they arrive through the relay, and again as soon
    as the relay no longer does. A relay that is lost or that is cut off from a
    part of its zone therefore delays messages, but keeps them from no host.
    """

    def __init__(self) -> None:
        self._relays: dict[str, str] = {}

    def plan(self, hosts: Mapping[str, KnownHost]) -> FanOut:
        """Return how a message reaches all hosts.

        Args:
            hosts: The other entry hosts, by name.

        Returns:
            The hosts to send to, and the relays with the hosts behind them.
        """
        if len(hosts) + 1 < MIN_HOSTS:
            return FanOut(tuple(hosts), {})
        hosts_by_zone: dict[str, dict[str, KnownHost]] = {}
        for name, host in hosts.items():
            hosts_by_zone.setdefault(host.zone, {})[name] = host
        direct: list[str] = []
        relayed: dict[str, dict[str, str]] = {}
        for zone, members in hosts_by_zone.items():
            relay = self._choose_relay(zone, members)
            if relay is None:
                direct.extend(members)
                continue
            relayed[relay] = {
                name: host.address for name, host in members.items() if name != relay
            }
            direct.extend(
                name
                for name, host in members.items()
                if name != relay
                and (
                    host.relay != relay
                    or now() - host.reported_at > RELAY_TIMEOUT_SECONDS
                )
            )
        return FanOut(tuple(direct), relayed)

    def _choose_relay(self, zone: str, members: Mapping[str, KnownHost]) -> str | None:
        """Return the relay of a zone, which changes only if it must.

        The order of candidates is the same for every leader, so that a change
        of leader keeps the relays and their open streams.

        Args:
            zone: The zone.
            members: The hosts of the zone, by name.

        Returns:
            The name of the relay, or None if the zone has none.
        """
        if len(members) < MIN_HOSTS_IN_ZONE:
            return None
        oldest = now() - RELAY_TIMEOUT_SECONDS
        candidates = [
            name
            for name, host in members.items()
            if host.reported_at >= oldest and not host.is_draining
        ]
        current = self._relays.get(zone)
        if current in candidates:
            return current
        relay = min(candidates, key=_rank, default=None)
        if relay is None:
            self._relays.pop(zone, None)
        else:
            self._relays[zone] = relay
        if relay != current:
            logger.info(
                "relay-chosen",
                extra={
                    "of_zone": zone,
                    "relay": relay,
                    "previous": current,
                    "hosts": len(members),
                    "candidates": len(candidates),
                },
            )
        return relay


def _rank(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode())
