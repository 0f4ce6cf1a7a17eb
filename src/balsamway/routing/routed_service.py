"""A service to which routes send requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutedService:
    """The configuration of a service."""

    name: str
    connections_at_most: int
    """Bounds the connections of all entry hosts together to one target."""
    is_keyed: bool = False
    """Whether each key has one owner among the targets at a time."""
    warm_seconds: float = 0.0
    """How long requests for a key are slow after a move without a handover."""
