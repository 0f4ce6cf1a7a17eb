"""The faults that the platform stand-in can simulate."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """The faults that are simulated; none by default."""

    outage: bool = False
    """Whether every call is refused with 503."""
    delay_seconds: float = 0.0
    """How long every call is delayed before it is carried out."""
    lose_answers: bool = False
    """Whether updates take effect but their responses are lost."""
    apply_late_seconds: float = 0.0
    """How long after the loss of its response an update takes effect.

    0 applies every update at once.
    """
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    host_list_lag_seconds: float = 0.0
    cut_zones: tuple[str, ...] = ()
    """Availability zones whose calls get no response and have no effect."""
