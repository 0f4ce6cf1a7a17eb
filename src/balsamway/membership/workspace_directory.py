"""The directory of hosts, limited to the entry hosts of one workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.membership.directory import Directory
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class WorkspaceDirectory:
    """Limit a directory to a workspace's zones; implements `Directory`.

    Leaders and witnesses of a workspace's shards run in the availability
    zones of the workspace only.
    """

    def __init__(
        self, directory: Directory, zones: Callable[[], frozenset[str]]
    ) -> None:
        """Wrap a directory.

        Args:
            directory: The directory of all hosts.
            zones: Return the workspace's availability zones.
        """
        self._directory = directory
        self._zones = zones

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Return the targets of a service; see `Directory`."""
        return self._directory.targets(workspace, service)

    def target(self, name: str) -> Host | None:
        """Return a target by name; see `Directory`."""
        return self._directory.target(name)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Return the entry hosts in the workspace's zones."""
        zones = self._zones()
        return tuple(
            host for host in self._directory.entry_hosts() if host.zone in zones
        )

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Return the daemons with a recent heartbeat in those zones."""
        host_names = {host.name for host in self.entry_hosts()}
        return tuple(
            witness
            for witness in self._directory.live_witnesses()
            if witness.host in host_names
        )

    def leader_of(self, shard: ShardId) -> str | None:
        """Return the leader of a shard; see `Directory`."""
        return self._directory.leader_of(shard)

    def mark_leaving(self, target: str) -> None:
        """Record that a target is draining; see `Directory`."""
        self._directory.mark_leaving(target)
