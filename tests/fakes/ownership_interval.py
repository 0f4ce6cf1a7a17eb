from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class OwnershipInterval:
    """A target owned a range from `start` to `end`, in event loop time."""

    target: str
    shard: ShardId
    range: KeyRange
    epoch: int
    start: float
    end: float


def overlaps(
    intervals: list[OwnershipInterval],
) -> list[tuple[OwnershipInterval, OwnershipInterval]]:
    """Return the pairs in which two targets owned a position at once."""
    overlapping = []
    ordered = sorted(intervals, key=lambda interval: interval.start)
    for number, earlier in enumerate(ordered):
        for later in ordered[number + 1 :]:
            if later.start >= earlier.end:
                break
            if (
                earlier.target != later.target
                and earlier.shard == later.shard
                and earlier.range.overlaps(later.range)
                and later.end > later.start
            ):
                overlapping.append((earlier, later))
    return overlapping
