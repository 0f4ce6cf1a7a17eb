"""Finds the slice of a position by bisection."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices.key_range import KeyRange


class Ranged(Protocol):
    """Anything that stands for a range of positions."""

    @property
    def range(self) -> KeyRange:
        """The positions it stands for."""
        ...


S = TypeVar("S", bound=Ranged)


class SliceMap(Generic[S]):
    """The slices of one shard, by position.

    Args:
        slices: Sorted by range and adjacent, without gaps.
    """

    __slots__ = ("_slices", "_starts")

    def __init__(self, slices: Sequence[S]) -> None:
        self._slices = tuple(slices)
        self._starts = array("Q", (one.range.start for one in self._slices))

    def __len__(self) -> int:
        return len(self._slices)

    def find(self, position: int) -> S | None:
        """Finds the slice that covers a position.

        Args:
            position: The position of a key.

        Returns:
            The slice, or None where no slice covers the position.
        """
        index = bisect_right(self._starts, position) - 1
        if index < 0:
            return None
        found = self._slices[index]
        return found if position in found.range else None

    def overlapping(self, searched: KeyRange) -> tuple[S, ...]:
        """Finds the slices that share a position with a range.

        Args:
            searched: The range.

        Returns:
            The slices in order.
        """
        index = max(bisect_right(self._starts, searched.start) - 1, 0)
        found = []
        for one in self._slices[index:]:
            if one.range.start >= searched.end:
                break
            if one.range.overlaps(searched):
                found.append(one)
        return tuple(found)
