"""The directory, narrowed to the entry hosts of one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.membership.directory import Directory
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class MemberDirectory:
    """Implements `Directory`; names only entry hosts in a member's zones.

    Leaders and witnesses of a member's shards stand where its hosts stand.
    """

    def __init__(
        self, directory: Directory, zones: Callable[[], frozenset[str]]
    ) -> None:
        """Narrows a directory.

        Args:
            directory: The directory of all hosts.
            zones: Gives the member's availability zones.
        """
        self._directory = directory
        self._zones = zones

    def servers(self, member: str, service: str) -> tuple[Host, ...]:
        """Lists the servers of a service; see `Directory`."""
        return self._directory.servers(member, service)

    def server(self, name: str) -> Host | None:
        """Finds a server by name; see `Directory`."""
        return self._directory.server(name)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts in the member's zones."""
        zones = self._zones()
        return tuple(
            host for host in self._directory.entry_hosts() if host.zone in zones
        )

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists the daemons heard from lately in the member's zones."""
        names = {host.name for host in self.entry_hosts()}
        return tuple(
            one for one in self._directory.live_witnesses() if one.host in names
        )

    def leader_of(self, shard: ShardId) -> str | None:
        """Names the leader of a shard; see `Directory`."""
        return self._directory.leader_of(shard)

    def mark_leaving(self, server: str) -> None:
        """Records that a server is leaving; see `Directory`."""
        self._directory.mark_leaving(server)
