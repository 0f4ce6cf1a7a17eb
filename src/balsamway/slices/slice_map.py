"""Finds the slices of positions by bisection."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices.key_range import KeyRange


class HasRange(Protocol):
    """An object that covers a range of positions."""

    @property
    def range(self) -> KeyRange:
        """The positions that it covers."""
        ...


S = TypeVar("S", bound=HasRange)


class SliceMap(Generic[S]):
    """Maps positions to the slices of one shard.

    Args:
        slices: The slices, sorted by range, without gaps.
    """

    __slots__ = ("_slices", "_starts")

    def __init__(self, slices: Sequence[S]) -> None:
        self._slices = tuple(slices)
        self._starts = array("Q", (entry.range.start for entry in self._slices))

    def __len__(self) -> int:
        return len(self._slices)

    def find(self, position: int) -> S | None:
        """Return the slice that covers a position, or None if there is none.

        Args:
            position: The position of a key.
        """
        index = bisect_right(self._starts, position) - 1
        if index < 0:
            return None
        found = self._slices[index]
        return found if position in found.range else None

    def overlapping(self, searched_range: KeyRange) -> tuple[S, ...]:
        """Return the slices that share a position with a range, in order.

        Args:
            searched_range: The range.
        """
        index = max(bisect_right(self._starts, searched_range.start) - 1, 0)
        found = []
        for entry in self._slices[index:]:
            if entry.range.start >= searched_range.end:
                break
            if entry.range.overlaps(searched_range):
                found.append(entry)
        return tuple(found)
