from __future__ import annotations

from enum import Enum


class CallOutcome(Enum):
    """What a fake does with a call that it receives."""

    PASS = "pass"
    DROP = "drop"
    """Do not execute the call; the caller sees a failure."""
    LOSE_ANSWER = "lose-answer"
    """Execute the call; its answer is lost, and the caller sees a failure."""
    APPLY_LATE = "apply-late"
    """Fail towards the caller; execute the call `late_seconds` later."""
    DOUBLE = "double"
    """Execute the call now and once more `late_seconds` later."""
    CONFLICT = "conflict"
    """Store writes only: another writer changed the object just before."""
