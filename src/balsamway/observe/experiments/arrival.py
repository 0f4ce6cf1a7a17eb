"""Defines one request of a workload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Arrival:
    """A request for a key that arrives at a gateway."""

    at: float
    """When it arrives, in seconds since the start of the run."""
    position: int
    """The hash position of the key."""
    service_seconds: float
    """How long it occupies a slot of a target."""
    gateway: int
    """The index of the gateway."""
