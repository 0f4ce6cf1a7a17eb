"""What a target says of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """A target's own report; it lags and misleads."""

    state: str
    load: float = 0.0
    in_flight: int = 0
    connections: int = 0
