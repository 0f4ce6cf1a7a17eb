"""What became of an attempt at a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AttemptApplied:
    """The request ran and its effect was applied."""

    counter: int
    """How many runs the key then had on this target."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The request was refused without effect."""

    reason: str


AttemptResult = AttemptApplied | AttemptRefused
