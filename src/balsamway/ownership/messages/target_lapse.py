"""When the grants of one target run out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetLapse:
    """What the leader before knew of one target."""

    name: str
    seconds: float
    """How long any grant to the target may last yet."""
    checks: bool | None
    """Whether the target refuses older epochs; None if that is not known."""
