"""Chooses the entry hosts that follow the store for their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.membership.host_directory import HostDirectory

RELAYS_PER_ZONE = 2


class Relays:
    """The relays of each zone: its live entry hosts with the lowest names."""

    def __init__(self, host: str, zone: str, directory: HostDirectory) -> None:
        """Prepares the choice.

        Args:
            host: This host's name.
            zone: This host's availability zone.
            directory: Names the entry hosts and those heard from lately.
        """
        self._host = host
        self._zone = zone
        self._directory = directory

    @property
    def is_relay(self) -> bool:
        """Whether this host follows the store for its zone."""
        return self._host in self._live_by_zone()[self._zone][:RELAYS_PER_ZONE]

    def zone_hosts(self) -> tuple[str, ...]:
        """Lists the other live entry hosts of this zone."""
        hosts = self._live_by_zone()[self._zone]
        return tuple(name for name in hosts if name != self._host)

    def other_zones(self) -> dict[str, list[str]]:
        """Lists the live entry hosts of each other zone, relays first."""
        hosts = self._live_by_zone()
        del hosts[self._zone]
        return hosts

    def known_peers(self) -> tuple[str, ...]:
        """Lists all other entry hosts, heard from lately or not."""
        names = (host.name for host in self._directory.entry_hosts())
        return tuple(name for name in names if name != self._host)

    def in_zone(self, host: str) -> bool:
        """Tells whether an entry host stands in this zone."""
        return host in self._live_by_zone()[self._zone]

    def _live_by_zone(self) -> dict[str, list[str]]:
        zones = {host.name: host.zone for host in self._directory.entry_hosts()}
        zones[self._host] = self._zone
        live = {witness.host for witness in self._directory.live_witnesses()}
        found: dict[str, list[str]] = {self._zone: []}
        for name in sorted(live | {self._host}):
            if name in zones:
                found.setdefault(zones[name], []).append(name)
        return found
