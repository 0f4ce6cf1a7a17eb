"""A slice while a plan is made."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.balance.move import Move
    from balsamway.slices import KeyRange, SliceEntry


@dataclass(frozen=True, slots=True)
class BoardSlice:
    """One slice with its load, as the plan so far would leave it."""

    range: KeyRange
    owner: str
    standby: str
    moving: bool
    weight: float
    """The load that placement counts; never zero, so idle slices spread."""
    load: float
    """The estimated load alone, in busy seconds a second."""

    @classmethod
    def of(cls, entry: SliceEntry, load: float, weight: float) -> BoardSlice:
        """Describes a slice of the record.

        Args:
            entry: The slice.
            load: Its estimated load.
            weight: The load that placement counts.

        Returns:
            The slice; one that moves counts for the target it moves to.
        """
        owner = entry.moving_to or entry.owner
        moving = bool(entry.moving_to)
        return cls(entry.range, owner, entry.standby, moving, weight, load)

    def moved(self, move: Move) -> BoardSlice:
        """Gives the slice as a move leaves it.

        Args:
            move: A move of this slice.

        Returns:
            The slice with its next owner.
        """
        return BoardSlice(
            self.range, move.to, self.standby, self.moving, self.weight, self.load
        )
