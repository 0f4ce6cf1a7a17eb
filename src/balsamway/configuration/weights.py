"""How a workspace weighs the measures of placement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Weights:
    """The weight of each measure for a workspace; only the ratio matters."""

    imbalance: float = 1.0
    unavailable_time: float = 1.0
