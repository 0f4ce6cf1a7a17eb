"""A contiguous range of positions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """The positions from `start` up to, not including, `end`."""

    start: int
    end: int

    @property
    def size(self) -> int:
        """The number of positions in the range."""
        return self.end - self.start

    def __contains__(self, position: int) -> bool:
        return self.start <= position < self.end

    def overlaps(self, other: KeyRange) -> bool:
        """Return whether any position is in both ranges.

        Args:
            other: The range to compare with.
        """
        return self.start < other.end and other.start < self.end
