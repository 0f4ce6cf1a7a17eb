"""Waits that grow with each failure, with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class Backoff:
    """Draws each wait from half up to all of a doubling interval."""

    def __init__(
        self, rng: Random, first_seconds: float = 0.1, longest_seconds: float = 2.0
    ) -> None:
        """Starts at the first interval.

        Args:
            rng: Draws the jitter.
            first_seconds: The interval after the first failure.
            longest_seconds: The interval that is never exceeded.
        """
        self._rng = rng
        self._first = first_seconds
        self._longest = longest_seconds
        self._interval = first_seconds

    def next_seconds(self) -> float:
        """Gives the next wait, in seconds, and doubles the interval."""
        interval = self._interval
        self._interval = min(interval * 2, self._longest)
        return interval * (0.5 + 0.5 * self._rng.random())

    def reset(self) -> None:
        """Starts again at the first interval, after a success."""
        self._interval = self._first
