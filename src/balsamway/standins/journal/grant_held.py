"""A period during which a target had a grant for a range."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class GrantHeld:
    """A grant for a range of a shard that a target had from `start` to `end`.

    Times are in event loop time, in seconds, even where the target's own clock
    differs from it. `end` is not part of the period.
    """

    target: str
    shard: str
    range: KeyRange
    epoch: int
    start: float
    end: float
