"""Tells a change of load from the noise of few requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

K = TypeVar("K", bound="Hashable")

STEADY_SECONDS = 30.0
"""The time constant while a load only varies by chance."""

CHANGE_DEVIATIONS = 4.5
"""The standard deviations beyond which a load has changed."""


class SteadyLoads(Generic[K]):
    """Averages loads for long, but follows a change at once.

    The requests for a slice are a Poisson stream, so what a short average of
    them varies by chance is known from the load and the cost of one request.
    A load further than that from its long average has changed, and the long
    average starts anew from it.
    """

    def __init__(self) -> None:
        self._values: dict[K, float] = {}
        self._updated_at = 0.0

    def update(
        self,
        recent: Mapping[K, float],
        cost: float,
        recent_seconds: float,
        now: float,
    ) -> dict[K, float]:
        """Takes in the short averages.

        Args:
            recent: The short average of each load; others are forgotten.
            cost: The busy seconds of one request.
            recent_seconds: The time constant of the short averages.
            now: The runtime's clock, in seconds.

        Returns:
            The load of each, in the unit of the short averages.
        """
        elapsed = max(now - self._updated_at, 0.0)
        gain = 1.0 - math.exp(-elapsed / STEADY_SECONDS)
        self._updated_at = now
        grain = cost / (2.0 * recent_seconds)
        self._values = {
            key: self._next(self._values.get(key), value, gain, grain)
            for key, value in recent.items()
        }
        return dict(self._values)

    def _next(
        self, before: float | None, value: float, gain: float, grain: float
    ) -> float:
        if before is None:
            return value
        deviation = math.sqrt(max(before, value, grain) * grain)
        if abs(value - before) > CHANGE_DEVIATIONS * deviation:
            return value
        return before + gain * (value - before)
