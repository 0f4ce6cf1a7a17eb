"""The target refused an order older than one that it had accepted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target refused an order older than one that it had accepted."""

    leader_epoch: int
    """The highest leader epoch that the target has accepted."""
    clock: float
    """The target's own clock, in seconds, when it responded."""
