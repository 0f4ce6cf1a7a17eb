"""What placement wants changed."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.balance.move import Move
from balsamway.balance.split import Split
from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes to one shard's record, to be made in the order of the fields.

    Splits and merges change no owner. A slice that is moving is in none of
    the changes.
    """

    splits: tuple[Split, ...] = ()
    merges: tuple[KeyRange, ...] = ()
    """Each the union of adjacent slices that have one owner."""
    moves: tuple[Move, ...] = ()
    standbys: tuple[Move, ...] = ()
    """The standby to record for each slice named."""
