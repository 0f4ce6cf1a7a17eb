"""What the components of a shard's leader share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.ownership.authority import Authority
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.grant_keeper import GrantKeeper
    from balsamway.ownership.record_writer import RecordWriter
    from balsamway.ownership.shard_state import ShardState
    from balsamway.ownership.view_server import ViewServer


@dataclass(frozen=True, slots=True)
class ShardContext:
    """The state, authority and components of one leader."""

    cluster: Cluster
    state: ShardState
    authority: Authority
    writer: RecordWriter
    keepers: dict[str, GrantKeeper]
    """The grant renewer of each target, by the target's name."""
    views: ViewServer

    def can_receive_slices(self, target: str) -> bool:
        """Whether slices may be assigned to a target.

        Args:
            target: The target's name.

        Returns:
            True if the target answers and is not draining.
        """
        keeper = self.keepers.get(target)
        return keeper is not None and keeper.answers and not keeper.is_draining

    def least_loaded_target(self, skip: Callable[[str], bool]) -> str:
        """Return the available target that owns the least of the key space.

        Args:
            skip: Returns whether to leave out a target.

        Returns:
            The target's name; empty if there is none.
        """
        sizes = {name: 0 for name in self.keepers if self.can_receive_slices(name)}
        for entry in self.state.record.slices:
            if entry.owner in sizes:
                sizes[entry.owner] += entry.range.size
        names = [name for name in sorted(sizes) if not skip(name)]
        return min(names, key=lambda name: sizes[name], default="")
