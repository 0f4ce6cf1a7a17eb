from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class OwnershipInterval:
    """A target held a range from `start` to `end`, by the loop's clock."""

    target: str
    shard: ShardId
    range: KeyRange
    epoch: int
    start: float
    end: float


def overlaps(
    intervals: list[OwnershipInterval],
) -> list[tuple[OwnershipInterval, OwnershipInterval]]:
    """Finds pairs where two targets held a position at the same time."""
    found = []
    ordered = sorted(intervals, key=lambda one: one.start)
    for number, one in enumerate(ordered):
        for two in ordered[number + 1 :]:
            if two.start >= one.end:
                break
            if (
                one.target != two.target
                and one.shard == two.shard
                and one.range.overlaps(two.range)
                and two.end > two.start
            ):
                found.append((one, two))
    return found
