"""Requests for keys, a few of which are hot for minutes."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.observe.experiments.arrival import Arrival
from balsamway.slices import position_of

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True, slots=True)
class KeyedWorkload:
    """The arrivals of one service, the same for the same seed."""

    requests_a_second: float = 1500.0
    service_seconds: float = 0.015
    """The mean; service times are exponential."""
    keys: int = 20_000
    skew: float = 0.6
    """The exponent of the popularity of the keys by rank."""
    hot_keys: int = 40
    hot_skew: float = 0.8
    hot_share: float = 0.5
    """The share of the requests that go to the hot keys."""
    hot_seconds: float = 120.0
    """How long a set of hot keys lasts."""
    gateways: int = 12

    def seconds(self, seed: int, count: int) -> Iterator[list[Arrival]]:
        """Draws the arrivals, one second at a time.

        Args:
            seed: The seed of all draws.
            count: How many seconds.

        Yields:
            The arrivals of a second, in order of time.
        """
        rng = random.Random(seed)
        positions = [position_of(f"key-{index}") for index in range(self.keys)]
        common = _cumulative(self.keys, self.skew)
        hot = _cumulative(self.hot_keys, self.hot_skew)
        hottest: list[int] = []
        for second in range(count):
            if second % self.hot_seconds == 0:
                hottest = rng.sample(positions, self.hot_keys)
            number = round(
                rng.gauss(self.requests_a_second, self.requests_a_second**0.5)
            )
            times = sorted(second + rng.random() for _ in range(number))
            drawn = rng.choices(positions, cum_weights=common, k=number)
            drawn_hot = rng.choices(hottest, cum_weights=hot, k=number)
            yield [
                Arrival(
                    at,
                    heated if rng.random() < self.hot_share else usual,
                    rng.expovariate(1.0 / self.service_seconds),
                    rng.randrange(self.gateways),
                )
                for at, usual, heated in zip(times, drawn, drawn_hot, strict=True)
            ]


def _cumulative(count: int, skew: float) -> list[float]:
    weights = ((rank + 1) ** -skew for rank in range(count))
    return list(itertools.accumulate(weights))
