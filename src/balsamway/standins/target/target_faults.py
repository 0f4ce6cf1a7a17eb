"""The faults that a target stand-in can be switched to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetFaults:
    """Which faults a target shows; the default shows none."""

    frozen: bool = False
    """Whether all processing stands still, to go on later as before."""
    shedding: bool = False
    """Whether requests are refused as not run."""
    refuse_orders: bool = False
    """Whether leaders' orders are answered with 503."""
    slowness: float = 1.0
    """The factor on every run time."""
    lose_answers: bool = False
    """Whether requests run and their answers are lost."""
    truncate_answers: bool = False
    swap_answers: bool = False
    """Whether answers name another request."""
    reported_load: float | None = None
    """The load reported in place of the true one."""
    reported_state: str | None = None
    """The state reported in place of the true one."""
