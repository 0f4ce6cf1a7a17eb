"""What the parts of a shard's leader share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.ownership.authority import Authority
    from balsamway.ownership.grant_renewer import GrantRenewer
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.record_writer import RecordWriter
    from balsamway.ownership.shard_state import ShardState
    from balsamway.ownership.view_server import ViewServer


@dataclass(frozen=True, slots=True)
class ShardContext:
    """One leader's memory, authority and means."""

    host_context: HostContext
    state: ShardState
    authority: Authority
    writer: RecordWriter
    renewers: dict[str, GrantRenewer]
    """By the name of the target."""
    views: ViewServer

    def usable(self, target: str) -> bool:
        """Tells whether a target may be given slices.

        Args:
            target: The target's name.

        Returns:
            True if it answers and is not leaving.
        """
        renewer = self.renewers.get(target)
        return renewer is not None and renewer.answers and not renewer.leaving

    def least_loaded(self, skip: Callable[[str], bool]) -> str:
        """Finds the usable target with the least of the key space.

        Args:
            skip: Tells which targets not to take.

        Returns:
            The target's name; empty where there is none.
        """
        sizes = {name: 0 for name in self.renewers if self.usable(name)}
        for entry in self.state.record.slices:
            if entry.owner in sizes:
                sizes[entry.owner] += entry.range.size
        names = [name for name in sorted(sizes) if not skip(name)]
        return min(names, key=lambda name: sizes[name], default="")
