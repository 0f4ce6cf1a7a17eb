"""The report of a target about its own health."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """A target's own report; it lags behind and can be misleading."""

    state: str
    load: float = 0.0
    in_flight: int = 0
    connections: int = 0
