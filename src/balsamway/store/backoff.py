"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class Backoff:
    """Draw delays between half and all of an interval that doubles."""

    def __init__(
        self, rng: Random, first_seconds: float = 0.1, longest_seconds: float = 2.0
    ) -> None:
        """Start at the first interval.

        Args:
            rng: Draws the jitter.
            first_seconds: The interval after the first failure, in seconds.
            longest_seconds: The maximum of the interval, in seconds.
        """
        self._rng = rng
        self._first_seconds = first_seconds
        self._max_seconds = longest_seconds
        self._interval_seconds = first_seconds

    def next(self) -> float:
        """Return the next delay, in seconds, and double the interval."""
        interval_seconds = self._interval_seconds
        self._interval_seconds = min(interval_seconds * 2, self._max_seconds)
        return interval_seconds * (0.5 + 0.5 * self._rng.random())

    def reset(self) -> None:
        """Return to the first interval, after a success."""
        self._interval_seconds = self._first_seconds
