"""The faults that the platform stand-in can be switched to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Which faults the platform shows; the default shows none."""

    outage: bool = False
    """Whether every call is refused with 503."""
    delay_seconds: float = 0.0
    """How long every call waits before it is carried out."""
    lose_answers: bool = False
    """Whether updates take effect and their answers are lost."""
    apply_late_seconds: float = 0.0
    """How long after its answer was lost an update takes effect; 0 for
    never late."""
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    host_list_lag_seconds: float = 0.0
    cut_zones: tuple[str, ...] = ()
    """Availability zones whose calls get no answer and no effect."""
