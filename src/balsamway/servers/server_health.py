"""What a server reports of itself; it lags and misleads."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """What a server reports of itself; it lags and misleads."""

    state: str
    """One of `warming`, `ready` and `draining`."""
    load: float = 0.0
    in_flight: int = 0
    connections: int = 0
