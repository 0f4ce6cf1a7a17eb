"""A shard's assignment, to which plans are applied at once."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import replace
from itertools import pairwise
from typing import TYPE_CHECKING

from balsamway.slices import POSITION_END, KeyRange, SliceEntry

if TYPE_CHECKING:
    from balsamway.balance import Plan


class ShardTable:
    """Slices and their owners, without the protocol that changes them."""

    def __init__(self, slices: int) -> None:
        """Creates slices of equal size without owners.

        Args:
            slices: How many.
        """
        step = POSITION_END // slices
        bounds = [step * index for index in range(slices)] + [POSITION_END]
        self._entries = [
            SliceEntry(KeyRange(*pair), "", 0) for pair in pairwise(bounds)
        ]
        self._starts = [entry.range.start for entry in self._entries]

    @property
    def entries(self) -> tuple[SliceEntry, ...]:
        """The slices, in order."""
        return tuple(self._entries)

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """The ranges of the slices, in order."""
        return tuple(entry.range for entry in self._entries)

    def find(self, position: int) -> SliceEntry:
        """Finds the slice of a position."""
        return self._entries[bisect_right(self._starts, position) - 1]

    def apply(self, plan: Plan) -> list[SliceEntry]:
        """Applies a plan.

        Args:
            plan: The plan, made for the slices as they are.

        Returns:
            The slices that changed owner, as they were before.
        """
        entries = {entry.range: entry for entry in self._entries}
        for split in plan.splits:
            old = entries.pop(split.range)
            bounds = (split.range.start, *split.at, split.range.end)
            for pair in pairwise(bounds):
                entries[KeyRange(*pair)] = replace(old, range=KeyRange(*pair))
        for union in plan.merges:
            old_ranges = [item for item in entries if item.overlaps(union)]
            merged = [entries.pop(item) for item in old_ranges]
            entries[union] = replace(merged[0], range=union)
        moved = []
        for move in plan.moves:
            before = entries[move.range]
            if before.owner:
                moved.append(before)
            entries[move.range] = replace(before, owner=move.to)
        for move in plan.standbys:
            entries[move.range] = replace(entries[move.range], standby=move.to)
        self._entries = [entries[item] for item in sorted(entries)]
        self._starts = [entry.range.start for entry in self._entries]
        return moved
