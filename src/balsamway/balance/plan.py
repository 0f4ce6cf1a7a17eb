"""The changes that the planner wants."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.balance.move import Move
from balsamway.balance.split import Split
from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes to one shard's record, to be made in the order of the fields.

    Splits and merges change no owner. None of the changes involves a slice
    that is moving.
    """

    splits: tuple[Split, ...] = ()
    merges: tuple[KeyRange, ...] = ()
    """The union of each group of adjacent slices of one owner to merge."""
    moves: tuple[Move, ...] = ()
    standbys: tuple[Move, ...] = ()
    """The new standby of each slice whose standby changes."""
