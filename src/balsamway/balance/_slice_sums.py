"""Sums of the load of each slice of one shard."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from balsamway.ownership.messages.range_load import RangeLoad
from balsamway.slices import POSITION_END, KeyRange

if TYPE_CHECKING:
    from collections.abc import Sequence

ALL_POSITIONS = (KeyRange(0, POSITION_END),)
"""One range that covers all positions, used while slices are unknown."""


class SliceSums:
    """Sums the requests and busy seconds of each slice, in flat lists."""

    def __init__(self) -> None:
        self._ranges: tuple[KeyRange, ...] = ALL_POSITIONS
        self._starts = [0]
        self._requests = [0]
        self._busy_seconds = [0.0]

    @property
    def total(self) -> float:
        """The busy seconds of all slices since the last reset."""
        return sum(self._busy_seconds)

    def record(self, position: int, busy_seconds: float) -> None:
        """Count one request.

        Args:
            position: The position of the request's key.
            busy_seconds: The time that the target spent on it, in seconds.
        """
        index = bisect_right(self._starts, position) - 1
        self._requests[index] += 1
        self._busy_seconds[index] += busy_seconds

    def loads(self) -> tuple[RangeLoad, ...]:
        """Return the load of each slice that had any requests, in order."""
        counted = zip(self._ranges, self._requests, self._busy_seconds, strict=True)
        return tuple(
            RangeLoad(slice_range, float(requests), busy_seconds)
            for slice_range, requests, busy_seconds in counted
            if requests
        )

    def reset(self, ranges: Sequence[KeyRange]) -> None:
        """Set all sums to zero and replace the slices.

        Args:
            ranges: The present slices, in order. Empty if they are unknown.
        """
        self._ranges = tuple(ranges) or ALL_POSITIONS
        self._starts = [slice_range.start for slice_range in self._ranges]
        self._requests = [0] * len(self._ranges)
        self._busy_seconds = [0.0] * len(self._ranges)
