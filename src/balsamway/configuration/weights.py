"""What a workspace weighs when measures are traded against each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Weights:
    """How much each measure counts for a workspace; only the ratio matters."""

    imbalance: float = 1.0
    unavailable_time: float = 1.0
