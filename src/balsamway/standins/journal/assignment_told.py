"""An assignment that was told to be in effect."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class AssignmentTold:
    """A leader told that a target owns a range, as recorded in the store."""

    shard: str
    range: KeyRange
    owner: str
    epoch: int
    time: float
