"""Defines the changes of targets during an experiment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TargetChange(StrEnum):
    """The kind of a change."""

    WARMING = "warming"
    LIVE = "live"
    LEAVING = "leaving"
    FAILS = "fails"
    """The target stops responding; the leader has not noticed it."""
    LOST = "lost"
    """The leader knows that the target's grants have expired."""


@dataclass(frozen=True, slots=True)
class TargetEvent:
    """A change of one target."""

    at: int
    """The second of the run before which the change happens."""
    target: str
    change: TargetChange
