"""One counter of the sketch of keys."""

from __future__ import annotations


class Counter:
    """The requests and busy seconds of one key, and the possible error."""

    __slots__ = ("busy_seconds", "error_seconds", "requests")

    def __init__(self) -> None:
        self.requests = 0.0
        self.busy_seconds = 0.0
        self.error_seconds = 0.0

    @property
    def certain(self) -> float:
        """The busy seconds that are the key's own beyond doubt."""
        return self.busy_seconds - self.error_seconds

    def take_over(self, other: Counter) -> None:
        """Starts from the count of an evicted key.

        Args:
            other: The counter of that key.
        """
        self.busy_seconds = other.busy_seconds
        self.error_seconds = other.busy_seconds

    def halve(self) -> None:
        """Lets the counts fade by half."""
        self.requests /= 2.0
        self.busy_seconds /= 2.0
        self.error_seconds /= 2.0
