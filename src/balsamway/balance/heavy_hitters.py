"""A sketch of the keys with the most load, in bounded memory."""

from __future__ import annotations

import heapq

from balsamway.balance._counter import Counter
from balsamway.ownership.messages.key_load import KeyLoad

INTERVALS_IN_SUM = 2.0
"""The sum of a steady load of 1 per interval, if the sum is halved after every
interval."""

MIN_BUSY_SECONDS = 1e-6
"""Counters that have decayed below this are dropped."""


class HeavyHitters:
    """Finds the keys with the most busy seconds, in bounded memory.

    This is the Space-Saving algorithm. If there is no free counter for a new
    key, it replaces the key with the least count and inherits its count. The
    inherited count is kept as the possible error. All counts are halved after
    every interval, so that old load decays.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty sketch.

        Args:
            capacity: The most keys that are counted at once.
        """
        self._capacity = capacity
        self._counters: dict[int, Counter] = {}
        self._heap: list[tuple[float, int]] = []
        """A heap with one entry per key. Its counts may be too low."""

    def __len__(self) -> int:
        return len(self._counters)

    def record(self, position: int, busy_seconds: float) -> None:
        """Count one request.

        Args:
            position: The position of the request's key.
            busy_seconds: The time that the target spent on it, in seconds.
        """
        counter = self._counters.get(position)
        if counter is None:
            counter = self._admit(position)
        counter.requests += 1.0
        counter.busy_seconds += busy_seconds

    def halve(self) -> None:
        """Decay all counts by half at the end of an interval."""
        kept = {}
        for position, counter in self._counters.items():
            counter.halve()
            if counter.busy_seconds >= MIN_BUSY_SECONDS:
                kept[position] = counter
        self._counters = kept
        self._heap = [(counter.busy_seconds, at) for at, counter in kept.items()]
        heapq.heapify(self._heap)

    def top(self, limit: int, at_least: float = 0.0) -> tuple[KeyLoad, ...]:
        """Return the keys with the most load.

        Args:
            limit: The most keys to return.
            at_least: Only keys with more load than this are returned,
                in busy seconds per interval.

        Returns:
            Lower bounds of the keys' load in one interval, in descending
            order of busy seconds.
        """
        found = [
            KeyLoad(
                position,
                counter.requests / INTERVALS_IN_SUM,
                counter.min_own_busy_seconds / INTERVALS_IN_SUM,
            )
            for position, counter in self._counters.items()
            if counter.min_own_busy_seconds / INTERVALS_IN_SUM > at_least
        ]
        found.sort(key=lambda key: (-key.busy_seconds, key.position))
        return tuple(found[:limit])

    def _admit(self, position: int) -> Counter:
        """Add a counter for a new key, which may replace another key."""
        counter = Counter()
        if len(self._counters) >= self._capacity:
            counter.inherit(self._evict())
        self._counters[position] = counter
        heapq.heappush(self._heap, (counter.busy_seconds, position))
        return counter

    def _evict(self) -> Counter:
        """Remove and return the counter with the least busy seconds."""
        while True:
            busy_seconds, position = self._heap[0]
            counter = self._counters[position]
            if counter.busy_seconds <= busy_seconds:
                heapq.heappop(self._heap)
                return self._counters.pop(position)
            heapq.heapreplace(self._heap, (counter.busy_seconds, position))
