"""Bounds the retries that this host adds to its callers' requests."""

from __future__ import annotations


class RepeatBudget:
    """A token bucket that requests fill and retries empty.

    A bucket of a given size and ratio allows at most
    size + ratio x requests retries in any time window. Each host keeps to its
    own share, so all hosts together keep to the deployment's bound.
    """

    def __init__(self, ratio: float, size: float) -> None:
        """Start with a full bucket.

        Args:
            ratio: The retries that each request adds.
            size: The most retries that the bucket holds.
        """
        self._ratio = ratio
        self._size = size
        self._remaining = size

    @property
    def remaining(self) -> float:
        """The number of retries that are allowed now."""
        return self._remaining

    def resize(self, size: float) -> None:
        """Change the most retries that the bucket holds.

        Args:
            size: The new size.
        """
        self._size = size
        self._remaining = min(self._remaining, size)

    def record_request(self) -> None:
        """Record a request of a caller."""
        self._remaining = min(self._size, self._remaining + self._ratio)

    def try_take(self) -> bool:
        """Take one retry from the budget if at least one remains.

        Returns:
            Whether the retry is allowed.
        """
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
