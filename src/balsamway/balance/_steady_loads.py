"""Distinguishes changes of load from the noise of few requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

K = TypeVar("K", bound="Hashable")

LONG_AVERAGE_SECONDS = 30.0
"""The time constant of the long average, used while a load only varies by
chance."""

CHANGE_DEVIATIONS = 4.5
"""How many standard deviations a load must be off to count as changed."""


class SteadyLoads(Generic[K]):
    """Averages loads over a long time, but follows a change at once.

    The requests for a slice are a Poisson process. The variance of their
    short average is thus known from the load and the cost of one request. A
    load that is further off its long average has changed, and the long
    average restarts from it.
    """

    def __init__(self) -> None:
        self._values: dict[K, float] = {}
        self._updated_at = 0.0

    def update(
        self,
        recent: Mapping[K, float],
        request_cost: float,
        recent_seconds: float,
        now: float,
    ) -> dict[K, float]:
        """Update the long averages.

        Args:
            recent: The short average of each load. Other loads are dropped.
            request_cost: The mean busy seconds of one request.
            recent_seconds: The time constant of the short averages.
            now: The event loop time, in seconds.

        Returns:
            The long average of each load, in the unit of the short averages.
        """
        elapsed = max(now - self._updated_at, 0.0)
        gain = 1.0 - math.exp(-elapsed / LONG_AVERAGE_SECONDS)
        self._updated_at = now
        variance_per_load = request_cost / (2.0 * recent_seconds)
        self._values = {
            key: self._next(self._values.get(key), value, gain, variance_per_load)
            for key, value in recent.items()
        }
        return dict(self._values)

    def _next(
        self, before: float | None, value: float, gain: float, variance_per_load: float
    ) -> float:
        if before is None:
            return value
        deviation = math.sqrt(max(before, value, variance_per_load) * variance_per_load)
        if abs(value - before) > CHANGE_DEVIATIONS * deviation:
            return value
        return before + gain * (value - before)
