"""Sums of load over the slices of one shard."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from balsamway.ownership.messages.range_load import RangeLoad
from balsamway.slices import POSITION_END, KeyRange

if TYPE_CHECKING:
    from collections.abc import Sequence

WHOLE = (KeyRange(0, POSITION_END),)


class SliceSums:
    """Counts requests and busy seconds for each slice, in flat lists."""

    def __init__(self) -> None:
        self._ranges: tuple[KeyRange, ...] = WHOLE
        self._starts = [0]
        self._requests = [0]
        self._busy_seconds = [0.0]

    @property
    def total(self) -> float:
        """The busy seconds of all slices since the last reset."""
        return sum(self._busy_seconds)

    def record(self, position: int, busy_seconds: float) -> None:
        """Counts one request.

        Args:
            position: The position of the request's key.
            busy_seconds: The target's time that it took.
        """
        index = bisect_right(self._starts, position) - 1
        self._requests[index] += 1
        self._busy_seconds[index] += busy_seconds

    def loads(self) -> tuple[RangeLoad, ...]:
        """Lists the slices that had any requests, in order."""
        counted = zip(self._ranges, self._requests, self._busy_seconds, strict=True)
        return tuple(
            RangeLoad(item, float(requests), busy_seconds)
            for item, requests, busy_seconds in counted
            if requests
        )

    def reset(self, ranges: Sequence[KeyRange]) -> None:
        """Starts anew, with the slices as they are now.

        Args:
            ranges: The slices, in order; empty where they are not known.
        """
        self._ranges = tuple(ranges) or WHOLE
        self._starts = [item.start for item in self._ranges]
        self._requests = [0] * len(self._ranges)
        self._busy_seconds = [0.0] * len(self._ranges)
