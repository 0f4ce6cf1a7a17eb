"""Measures how unevenly targets were busy."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Imbalance:
    """The spread of busy time over targets."""

    maximum_over_mean: float
    """The busiest target's time over the mean; 1 where all are equal."""
    coefficient_of_variation: float
    """The standard deviation over the mean; 0 where all are equal."""

    @classmethod
    def of(
        cls,
        busy_seconds: Mapping[str, float],
        heaviest_keys: Mapping[str, float] | None = None,
    ) -> Imbalance:
        """Measure the imbalance of busy times.

        Args:
            busy_seconds: The busy time of each target, in seconds.
            heaviest_keys: The busy time of each target's busiest key, in
                seconds. A target with a dominant key, one that alone exceeds
                an even share, is left out, as no placement can relieve it.

        Returns:
            The imbalance of the targets without a dominant key. It is that of
            equal busy times if no target was busy.
        """
        busy_times = _without_dominant_keys(busy_seconds, heaviest_keys or {})
        mean = statistics.fmean(busy_times) if busy_times else 0.0
        if mean <= 0.0:
            return cls(1.0, 0.0)
        return cls(max(busy_times) / mean, statistics.pstdev(busy_times) / mean)


def _without_dominant_keys(
    busy_seconds: Mapping[str, float], heaviest_keys: Mapping[str, float]
) -> list[float]:
    remaining = dict(busy_seconds)
    for name in sorted(heaviest_keys, key=lambda target: -heaviest_keys[target]):
        others = {target: busy for target, busy in remaining.items() if target != name}
        total = sum(others.values()) + heaviest_keys[name]
        if not others or heaviest_keys[name] <= total / len(remaining):
            break
        remaining = others
    return list(remaining.values())
