"""The directory, narrowed to the entry hosts of one workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.membership.host_directory import HostDirectory
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class WorkspaceDirectory:
    """Implements `HostDirectory` with only entry hosts of a workspace's zones.

    Leaders and witnesses of a workspace's shards stand where its hosts stand.
    """

    def __init__(
        self, directory: HostDirectory, zones: Callable[[], frozenset[str]]
    ) -> None:
        """Narrows a directory.

        Args:
            directory: The directory of all hosts.
            zones: Gives the workspace's availability zones.
        """
        self._directory = directory
        self._zones = zones

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Lists the targets of a service; see `HostDirectory`."""
        return self._directory.targets(workspace, service)

    def target(self, name: str) -> Host | None:
        """Finds a target by name; see `HostDirectory`."""
        return self._directory.target(name)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts in the workspace's zones."""
        zones = self._zones()
        return tuple(
            host for host in self._directory.entry_hosts() if host.zone in zones
        )

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists the daemons heard from lately in the workspace's zones."""
        names = {host.name for host in self.entry_hosts()}
        return tuple(
            one for one in self._directory.live_witnesses() if one.host in names
        )

    def leader_of(self, shard: ShardId) -> str | None:
        """Names the leader of a shard; see `HostDirectory`."""
        return self._directory.leader_of(shard)

    def mark_leaving(self, target: str) -> None:
        """Records that a target is leaving; see `HostDirectory`."""
        self._directory.mark_leaving(target)
