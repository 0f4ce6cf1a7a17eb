"""A bounded sketch of the keys with the most load."""

from __future__ import annotations

import heapq

from balsamway.balance._counter import Counter
from balsamway.ownership.messages.key_load import KeyLoad

INTERVALS_IN_SUM = 2.0
"""What a sum that is halved every interval holds of a steady load."""

LEAST_BUSY_SECONDS = 1e-6
"""Counters that decayed to less than this are dropped."""


class HeavyHitters:
    """Finds the keys that take the most busy seconds, in fixed memory.

    This is the Space-Saving algorithm: when a new key finds no free counter,
    it takes over the least one, and what it took over is remembered as its
    possible error. Halving every interval lets old load fade.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty sketch.

        Args:
            capacity: How many keys are counted at once.
        """
        self._capacity = capacity
        self._counters: dict[int, Counter] = {}
        self._least: list[tuple[float, int]] = []
        """A heap with one entry for each key; its weights may be too low."""

    def __len__(self) -> int:
        return len(self._counters)

    def record(self, position: int, busy_seconds: float) -> None:
        """Counts one request.

        Args:
            position: The position of the request's key.
            busy_seconds: The target's time that it took.
        """
        counter = self._counters.get(position)
        if counter is None:
            counter = self._admit(position)
        counter.requests += 1.0
        counter.busy_seconds += busy_seconds

    def halve(self) -> None:
        """Lets all counts fade by half, at the end of an interval."""
        kept = {}
        for position, counter in self._counters.items():
            counter.halve()
            if counter.busy_seconds >= LEAST_BUSY_SECONDS:
                kept[position] = counter
        self._counters = kept
        self._least = [(each.busy_seconds, at) for at, each in kept.items()]
        heapq.heapify(self._least)

    def top(self, limit: int, at_least: float = 0.0) -> tuple[KeyLoad, ...]:
        """Lists the keys with the most load.

        Args:
            limit: How many keys to list at most.
            at_least: The least load to list, in busy seconds an interval.

        Returns:
            Lower bounds for the load of one interval, the greatest first.
        """
        found = [
            KeyLoad(
                position,
                counter.requests / INTERVALS_IN_SUM,
                counter.certain / INTERVALS_IN_SUM,
            )
            for position, counter in self._counters.items()
            if counter.certain / INTERVALS_IN_SUM > at_least
        ]
        found.sort(key=lambda key: (-key.busy_seconds, key.position))
        return tuple(found[:limit])

    def _admit(self, position: int) -> Counter:
        counter = Counter()
        if len(self._counters) >= self._capacity:
            counter.take_over(self._evict())
        self._counters[position] = counter
        heapq.heappush(self._least, (counter.busy_seconds, position))
        return counter

    def _evict(self) -> Counter:
        while True:
            weight, position = self._least[0]
            counter = self._counters[position]
            if counter.busy_seconds <= weight:
                heapq.heappop(self._least)
                return self._counters.pop(position)
            heapq.heapreplace(self._least, (counter.busy_seconds, position))
