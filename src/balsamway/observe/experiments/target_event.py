"""Something that happens to a target during an experiment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TargetChange(StrEnum):
    """What happens to a target."""

    WARMING = "warming"
    LIVE = "live"
    LEAVING = "leaving"
    FAILS = "fails"
    """It answers no more; the shard's leader does not know yet."""
    LOST = "lost"
    """The shard's leader knows that its grant has lapsed."""


@dataclass(frozen=True, slots=True)
class TargetEvent:
    """A change of one target."""

    at: int
    """The second before which it happens."""
    target: str
    change: TargetChange
