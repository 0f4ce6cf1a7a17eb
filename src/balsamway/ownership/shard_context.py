"""What the parts of a shard's leader share."""

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
    """One leader's memory, authority and means."""

    cluster: Cluster
    state: ShardState
    authority: Authority
    writer: RecordWriter
    keepers: dict[str, GrantKeeper]
    """By the name of the target."""
    views: ViewServer

    def usable(self, target: str) -> bool:
        """Tells whether a target may be given slices.

        Args:
            target: The target's name.

        Returns:
            True if it answers and is not leaving.
        """
        keeper = self.keepers.get(target)
        return keeper is not None and keeper.answers and not keeper.leaving

    def least_loaded(self, skip: Callable[[str], bool]) -> str:
        """Finds the usable target with the least of the key space.

        Args:
            skip: Tells which targets not to take.

        Returns:
            The target's name; empty where there is none.
        """
        sizes = {name: 0 for name in self.keepers if self.usable(name)}
        for entry in self.state.record.slices:
            if entry.owner in sizes:
                sizes[entry.owner] += entry.range.size
        names = [name for name in sorted(sizes) if not skip(name)]
        return min(names, key=lambda name: sizes[name], default="")
