"""Generates requests for keys, a few of which are hot for minutes."""

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
    """The arrivals of one service, which are the same for the same seed."""

    requests_per_second: float = 1500.0
    """The mean; the number of arrivals in each second is Gaussian."""
    service_seconds: float = 0.015
    """The mean of the service times, which are exponential."""
    keys: int = 20_000
    skew: float = 0.6
    """The exponent of the Zipf distribution of the keys."""
    hot_keys: int = 40
    """The number of keys that are hot at a time."""
    hot_skew: float = 0.8
    """The exponent of the Zipf distribution of the hot keys."""
    hot_share: float = 0.5
    """The share of the requests that are for hot keys."""
    hot_seconds: float = 120.0
    """How long a set of keys stays hot."""
    gateways: int = 12

    def seconds(self, seed: int, count: int) -> Iterator[list[Arrival]]:
        """Generate the arrivals, one second at a time.

        Args:
            seed: The seed of all draws.
            count: The number of seconds.

        Yields:
            The arrivals of one second, ordered by time.
        """
        rng = random.Random(seed)
        positions = [position_of(f"key-{index}") for index in range(self.keys)]
        cumulative_weights = _cumulative_weights(self.keys, self.skew)
        hot_cumulative_weights = _cumulative_weights(self.hot_keys, self.hot_skew)
        hot_positions: list[int] = []
        for second in range(count):
            if second % self.hot_seconds == 0:
                hot_positions = rng.sample(positions, self.hot_keys)
            arrival_count = round(
                rng.gauss(self.requests_per_second, self.requests_per_second**0.5)
            )
            times = sorted(second + rng.random() for _ in range(arrival_count))
            drawn_positions = rng.choices(
                positions, cum_weights=cumulative_weights, k=arrival_count
            )
            drawn_hot_positions = rng.choices(
                hot_positions, cum_weights=hot_cumulative_weights, k=arrival_count
            )
            yield [
                Arrival(
                    at,
                    hot_position if rng.random() < self.hot_share else position,
                    rng.expovariate(1.0 / self.service_seconds),
                    rng.randrange(self.gateways),
                )
                for at, position, hot_position in zip(
                    times, drawn_positions, drawn_hot_positions, strict=True
                )
            ]


def _cumulative_weights(count: int, skew: float) -> list[float]:
    weights = ((rank + 1) ** -skew for rank in range(count))
    return list(itertools.accumulate(weights))
