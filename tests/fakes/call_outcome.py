from __future__ import annotations

from enum import Enum


class CallOutcome(Enum):
    """What becomes of a call that reached a fake."""

    PASS = "pass"
    DROP = "drop"
    """Not carried out; the caller sees a failure."""
    LOSE_ANSWER = "lose-answer"
    """Carried out; the caller sees a failure."""
    APPLY_LATE = "apply-late"
    """The caller sees a failure now, it is carried out `late_seconds` on."""
    DOUBLE = "double"
    """Carried out, and once more `late_seconds` on."""
    CONFLICT = "conflict"
    """Store writes: another writer changed the object just before."""
