"""What was measured of one way to the target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measurement:
    """What was measured of one way to the target."""

    path: str
    requests: int
    median_ms: float
    p99_ms: float
    """Median and p99: one request at a time."""
    concurrent_per_second: float
    """Requests a second of one caller with many at a time."""
    per_core_second: float
    """Requests for each second of processor time of the gateway, or of the
    target where there is no gateway."""
