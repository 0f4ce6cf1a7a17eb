"""A service to which routes send requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutedService:
    """The configuration of a service."""

    name: str
    max_connections: int
    """Bounds the connections of all entry hosts together to one target."""
    is_keyed: bool = False
    """Whether each key has one owner among the targets at a time."""
    warm_seconds: float = 0.0
    """How long requests for a key are slow after a move without a handover."""
    warmup_seconds: float = 0.0
    """How long a target is slow after a start; 0 if it is not known to be."""
    warmup_requests_per_second: float | None = None
    """The rate that a target accepts from all hosts while it is cold.

    None if it names no such rate.
    """
