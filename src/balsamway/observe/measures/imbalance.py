"""How unevenly targets were busy."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Imbalance:
    """The spread of busy time over targets; 1 and 0 where it is even."""

    maximum_over_mean: float
    coefficient_of_variation: float

    @classmethod
    def of(
        cls,
        busy_seconds: Mapping[str, float],
        heaviest_keys: Mapping[str, float] | None = None,
    ) -> Imbalance:
        """Measures busy times.

        Args:
            busy_seconds: The busy time of each target.
            heaviest_keys: The busy time of each target's heaviest key. A
                target whose key alone exceeds an even share is left out, as
                no placement can relieve it.

        Returns:
            The imbalance of the targets that are not left out.
        """
        kept = _not_bound(busy_seconds, heaviest_keys or {})
        mean = statistics.fmean(kept) if kept else 0.0
        if mean <= 0.0:
            return cls(1.0, 0.0)
        return cls(max(kept) / mean, statistics.pstdev(kept) / mean)


def _not_bound(
    busy_seconds: Mapping[str, float], heaviest_keys: Mapping[str, float]
) -> list[float]:
    rest = dict(busy_seconds)
    for name in sorted(heaviest_keys, key=lambda each: -heaviest_keys[each]):
        others = {each: busy for each, busy in rest.items() if each != name}
        even = sum(others.values()) + heaviest_keys[name]
        if not others or heaviest_keys[name] <= even / len(rest):
            break
        rest = others
    return list(rest.values())
