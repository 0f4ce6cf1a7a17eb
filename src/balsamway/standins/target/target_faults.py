"""Faults that can be injected into a target stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetFaults:
    """The faults that a target simulates; none by default."""

    frozen: bool = False
    """Whether all processing is suspended until the fault is cleared."""
    shedding: bool = False
    """Whether every request is refused as not run, as under overload."""
    refuse_orders: bool = False
    """Whether orders are answered with 503.

    An order is a grant, release or survey sent by the leader.
    """
    slowness: float = 1.0
    """The factor by which every run time is multiplied."""
    lose_answers: bool = False
    """Whether requests run but their responses are not sent."""
    truncate_answers: bool = False
    """Whether the connection is closed after half of the response body."""
    swap_answers: bool = False
    """Whether responses carry the id of another request."""
    reported_load: float | None = None
    """The load that health checks report instead of the actual one."""
    reported_state: str | None = None
    """The state that health checks report instead of the actual one."""
