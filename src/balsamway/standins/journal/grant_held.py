"""A time during which a target held a range."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class GrantHeld:
    """A target held a range of a shard from `start` up to `end`.

    Times are of the runtime's clock, whatever the target's own clock says.
    """

    target: str
    shard: str
    range: KeyRange
    epoch: int
    start: float
    end: float
