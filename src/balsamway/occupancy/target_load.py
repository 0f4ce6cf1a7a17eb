"""What a target reports of its load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """The requests at a target, of all hosts, when it responded."""

    running: int
    waiting: int
    slots: int
    """The number of requests that the target executes at the same time."""
    slowdown: float = 1.0
    """How long work takes on the target at this moment, relative to usual."""

    @property
    def total(self) -> int:
        """The number of requests running and waiting."""
        return self.running + self.waiting


@dataclass(frozen=True, slots=True)
class UnreadableLoad:
    """The target reports a load that cannot be decoded."""

    text: str


LoadAnswer: TypeAlias = TargetLoad | UnreadableLoad
