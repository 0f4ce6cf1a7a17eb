"""A service that routes lead to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutedService:
    """What the configuration says of a service."""

    name: str
    max_connections: int
    """How many connections a target accepts from all entry hosts together."""
    is_keyed: bool = False
    """Whether each key belongs to one target at a time."""
    warm_seconds: float = 0.0
    """How long a key that moved without a handover stays slow."""
