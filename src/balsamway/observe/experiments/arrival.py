"""One request of a workload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Arrival:
    """A request for a key, as it reaches a gateway."""

    at: float
    """Seconds from the start."""
    position: int
    service_seconds: float
    """How long a target's slot works on it."""
    gateway: int
