"""An assignment that was reported as in force or found in the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class AssignmentTold:
    """A range of a shard with its owner, as a leader or the store reported it.

    `time` is event loop time, in seconds.
    """

    shard: str
    range: KeyRange
    owner: str
    epoch: int
    time: float
