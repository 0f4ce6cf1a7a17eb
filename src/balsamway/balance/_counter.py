"""One counter of `HeavyHitters`."""

from __future__ import annotations


class Counter:
    """The requests and busy seconds of one key, with their possible error.

    The error is what the counter inherited from an evicted key.
    """

    __slots__ = ("busy_seconds", "error_seconds", "requests")

    def __init__(self) -> None:
        self.requests = 0.0
        self.busy_seconds = 0.0
        self.error_seconds = 0.0

    @property
    def min_own_busy_seconds(self) -> float:
        """The least busy seconds that the key itself certainly had."""
        return self.busy_seconds - self.error_seconds

    def inherit(self, evicted: Counter) -> None:
        """Start from the counts of an evicted key.

        Args:
            evicted: The counter of the evicted key.
        """
        self.busy_seconds = evicted.busy_seconds
        self.error_seconds = evicted.busy_seconds

    def halve(self) -> None:
        """Decay the counts by half."""
        self.requests /= 2.0
        self.busy_seconds /= 2.0
        self.error_seconds /= 2.0
