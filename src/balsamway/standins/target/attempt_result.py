"""The results of an attempt at a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AttemptApplied:
    """The request ran and its effect was applied."""

    counter: int
    """The number of runs of the key on this target, this one included."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The request was refused without effect."""

    reason: str
    """The value of the header `Balsamway-Reason`."""


AttemptResult = AttemptApplied | AttemptRefused
