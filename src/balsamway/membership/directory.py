"""The interface of the directory of entry hosts and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class Directory(Protocol):
    """The known hosts, from the host list and from messages of peers."""

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Return the targets of a service, including draining ones.

        Args:
            workspace: The workspace's name.
            service: The service's name.

        Returns:
            The targets, sorted by name.
        """
        ...

    def target(self, name: str) -> Host | None:
        """Return a target by name, or None if it is not known.

        A target that was removed from the host list recently is known as
        well.
        """
        ...

    def entry_hosts(self) -> tuple[Host, ...]:
        """Return the entry hosts, including this one, sorted by name."""
        ...

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Return the daemons with a recent heartbeat, including this one."""
        ...

    def leader_of(self, shard: ShardId) -> str | None:
        """Return the entry host that claims the highest epoch of a shard.

        None if no live host claims the shard.
        """
        ...

    def mark_leaving(self, target: str) -> None:
        """Record that a target reported itself as draining."""
        ...
