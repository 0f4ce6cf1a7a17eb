"""One incarnation of a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class TargetIncarnation:
    """Identifies one incarnation of a target, which can own keys."""

    name: str
    incarnation: int
    """Changes each time the target starts."""
