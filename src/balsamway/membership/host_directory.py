"""The interface to what is known of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class HostDirectory(Protocol):
    """Which hosts there are, by the host list and by what peers said."""

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Lists the targets of a service, leaving ones included.

        Args:
            workspace: The workspace's name.
            service: The service's name.

        Returns:
            The targets in the order of their names.
        """
        ...

    def target(self, name: str) -> Host | None:
        """Finds a target by name, also one that left the list lately."""
        ...

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts, this one included."""
        ...

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists the daemons heard from lately, this one included."""
        ...

    def leader_of(self, shard: ShardId) -> str | None:
        """Names the entry host that claims the highest epoch of a shard."""
        ...

    def mark_leaving(self, target: str) -> None:
        """Records that a target said itself that it is leaving."""
        ...
