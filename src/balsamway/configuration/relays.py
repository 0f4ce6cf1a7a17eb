"""Choose the entry hosts that watch the store for their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.membership.host_directory import HostDirectory

RELAYS_PER_ZONE = 2
"""How many hosts of each zone watch the store."""


class Relays:
    """The relays of each zone, its live entry hosts with the lowest names."""

    def __init__(self, host: str, zone: str, directory: HostDirectory) -> None:
        """Create a view of the relays from this host.

        Args:
            host: This host's name.
            zone: This host's availability zone.
            directory: Lists the entry hosts and those that sent a heartbeat
                recently.
        """
        self._host = host
        self._zone = zone
        self._directory = directory

    @property
    def is_relay(self) -> bool:
        """Whether this host watches the store for its zone."""
        return self._host in self._live_hosts_by_zone()[self._zone][:RELAYS_PER_ZONE]

    def local_zone_peers(self) -> tuple[str, ...]:
        """Return the other live entry hosts of the local zone."""
        hosts = self._live_hosts_by_zone()[self._zone]
        return tuple(name for name in hosts if name != self._host)

    def other_zone_hosts(self) -> dict[str, list[str]]:
        """Return the live entry hosts of each other zone, relays first."""
        hosts = self._live_hosts_by_zone()
        del hosts[self._zone]
        return hosts

    def all_peers(self) -> tuple[str, ...]:
        """Return all other entry hosts, live or not."""
        names = (host.name for host in self._directory.entry_hosts())
        return tuple(name for name in names if name != self._host)

    def is_in_local_zone(self, host: str) -> bool:
        """Whether a live entry host is in the local zone."""
        return host in self._live_hosts_by_zone()[self._zone]

    def _live_hosts_by_zone(self) -> dict[str, list[str]]:
        zones = {host.name: host.zone for host in self._directory.entry_hosts()}
        zones[self._host] = self._zone
        live = {witness.host for witness in self._directory.live_witnesses()}
        hosts_by_zone: dict[str, list[str]] = {self._zone: []}
        for name in sorted(live | {self._host}):
            if name in zones:
                hosts_by_zone.setdefault(zones[name], []).append(name)
        return hosts_by_zone
