"""The expiry of the grants of one target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetLapse:
    """Reports what a previous leader knew of one target."""

    name: str
    seconds: float
    """How long any grant to the target may still last."""
    checks: bool | None
    """Whether the target enforces fencing tokens; None if not known."""
