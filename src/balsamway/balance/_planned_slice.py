"""A slice in a plan."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.balance.move import Move
    from balsamway.slices import KeyRange, SliceEntry


@dataclass(frozen=True, slots=True)
class PlannedSlice:
    """One slice with its load, after the changes planned so far."""

    range: KeyRange
    owner: str
    standby: str
    moving: bool
    weight: float
    """The load that placement balances. It is never zero, so that slices
    without load are spread over the targets as well."""
    load: float
    """The estimated load, in busy seconds per second."""

    @classmethod
    def of(cls, entry: SliceEntry, load: float, weight: float) -> PlannedSlice:
        """Create the planned slice for a slice of the shard's record.

        Args:
            entry: The slice.
            load: Its estimated load, in busy seconds per second.
            weight: The load that placement balances.

        Returns:
            The planned slice. If it is moving, its owner is the target that
            it moves to.
        """
        owner = entry.moving_to or entry.owner
        moving = bool(entry.moving_to)
        return cls(entry.range, owner, entry.standby, moving, weight, load)

    def after_move(self, move: Move) -> PlannedSlice:
        """Return the slice after a move.

        Args:
            move: A move of this slice.
        """
        return PlannedSlice(
            self.range, move.to, self.standby, self.moving, self.weight, self.load
        )
