"""A target's response to an order that it accepted."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.targets.orders.granted_range import GrantedRange


@dataclass(frozen=True, slots=True)
class GrantReport:
    """A target's response to an order that it accepted."""

    clock: float
    """The target's own clock, in seconds, when it responded."""
    checks: bool
    """Whether the target refuses orders and requests of older epochs."""
    ranges: tuple[GrantedRange, ...]
    """The ranges of the shard that the target owns."""
    valid_until: float
    """When the grant expires by the target's own clock, in seconds.

    The grant has expired if this is at or before `clock`.
    """
    leaving: bool = False
    """Whether the target is draining."""
