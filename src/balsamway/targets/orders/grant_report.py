"""A target's answer to an order that it accepted."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.targets.orders.granted_range import GrantedRange


@dataclass(frozen=True, slots=True)
class GrantReport:
    """A target's answer to an order that it accepted."""

    clock: float
    """The target's own clock, in seconds, when it answered."""
    checks: bool
    """Whether the target refuses orders and requests of older epochs."""
    ranges: tuple[GrantedRange, ...]
    """The ranges that it holds of the shard."""
    valid_until: float
    """The end of its grant by its own clock; at or before `clock`: lapsed."""
    leaving: bool = False
    """Whether the target has been asked to stop."""
