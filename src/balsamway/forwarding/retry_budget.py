"""Bounds how many attempts this host adds to those of its callers."""

from __future__ import annotations


class RetryBudget:
    """A bucket that requests fill and repeats empty.

    All hosts together keep the deployment's bound, as each keeps its share:
    a bucket of a given size and ratio adds at most size + ratio x requests
    in any span of time.
    """

    def __init__(self, ratio: float, size: float) -> None:
        """Starts full.

        Args:
            ratio: The repeats that each request allows.
            size: The repeats that are allowed at once.
        """
        self._ratio = ratio
        self._size = size
        self._left = size

    @property
    def left(self) -> float:
        """How many repeats are allowed now."""
        return self._left

    def resize(self, size: float) -> None:
        """Changes how many repeats are allowed at once.

        Args:
            size: The new size.
        """
        self._size = size
        self._left = min(self._left, size)

    def on_request(self) -> None:
        """Counts a request of a caller."""
        self._left = min(self._size, self._left + self._ratio)

    def take(self) -> bool:
        """Takes one repeat.

        Returns:
            Whether it is allowed.
        """
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
