"""What became of one attempt at one target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.outcome import Verdict


class AttemptOutcome(Enum):
    """What an attempt says of its target."""

    SERVED = "served"
    FAILED = "failed"
    """It answered, with a failure of its own."""
    SHED = "shed"
    """It refused for want of room."""
    KEY_NOT_HELD = "key-not-held"
    WRONG_TARGET = "other-target"
    """Another target has its address now."""
    UNREACHABLE = "unreachable"
    """No connection could be opened."""
    STALE_CONNECTION = "stale-connection"
    """A kept connection had closed before anything was written."""
    CONNECTION_LOST = "broken"
    """The exchange ended without a whole answer."""
    TIMED_OUT = "late"
    """No answer came in the time given."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The verdict on an attempt, and what it says of the target."""

    verdict: Verdict
    outcome: AttemptOutcome
