"""Holds a shard's assignment, and applies plans to it immediately."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import replace
from itertools import pairwise
from typing import TYPE_CHECKING

from balsamway.slices import POSITION_END, KeyRange, SliceEntry

if TYPE_CHECKING:
    from balsamway.balance import Plan


class ShardTable:
    """Slices of a shard and their owners, without the ownership protocol."""

    def __init__(self, slices: int) -> None:
        """Create unassigned slices of equal size.

        Args:
            slices: The number of slices.
        """
        step = POSITION_END // slices
        bounds = [step * index for index in range(slices)] + [POSITION_END]
        self._entries = [
            SliceEntry(KeyRange(*pair), "", 0) for pair in pairwise(bounds)
        ]
        self._starts = [entry.range.start for entry in self._entries]

    @property
    def entries(self) -> tuple[SliceEntry, ...]:
        """The slices, in order of position."""
        return tuple(self._entries)

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """The ranges of the slices, in order of position."""
        return tuple(entry.range for entry in self._entries)

    def find(self, position: int) -> SliceEntry:
        """Return the slice that contains a hash position."""
        return self._entries[bisect_right(self._starts, position) - 1]

    def apply(self, plan: Plan) -> list[SliceEntry]:
        """Apply a plan to the assignment.

        Args:
            plan: A plan for the current slices.

        Returns:
            The slices that changed owner, with their previous owners.
        """
        entries = {entry.range: entry for entry in self._entries}
        for split in plan.splits:
            old = entries.pop(split.range)
            bounds = (split.range.start, *split.at, split.range.end)
            for pair in pairwise(bounds):
                entries[KeyRange(*pair)] = replace(old, range=KeyRange(*pair))
        for merged_range in plan.merges:
            old_ranges = [
                key_range for key_range in entries if key_range.overlaps(merged_range)
            ]
            merged = [entries.pop(key_range) for key_range in old_ranges]
            entries[merged_range] = replace(merged[0], range=merged_range)
        moved = []
        for move in plan.moves:
            before = entries[move.range]
            if before.owner:
                moved.append(before)
            entries[move.range] = replace(before, owner=move.to)
        for move in plan.standbys:
            entries[move.range] = replace(entries[move.range], standby=move.to)
        self._entries = [entries[key_range] for key_range in sorted(entries)]
        self._starts = [entry.range.start for entry in self._entries]
        return moved
