"""A finding of the checker."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Invariant(StrEnum):
    """What must always hold."""

    SOLE_OWNER = "sole-owner"
    """No position is held by two targets at once."""
    RUN_UNDER_OWNERSHIP = "run-under-ownership"
    """No request runs on a target while another holds its key."""
    ASSIGNMENT_KEPT = "assignment-kept"
    """An assignment told to be in effect is replaced by later ones only."""
    RUN_AT_MOST_ONCE = "run-at-most-once"
    """A request that is not idempotent runs at most once."""
    ANSWER_FROM_RUN = "answer-from-run"
    """A completed request did run."""
    NOT_RUN_IS_TRUE = "not-run-is-true"
    """A request refused as not run did not run."""
    VERSION_GROWS = "version-grows"
    """The configuration in force on a host never goes back."""
    ANSWER_WHOLE = "answer-whole"
    """An answer is whole and belongs to its request."""
    LEAVING_IDLE = "leaving-idle"
    """A leaving target gets no new work after a few seconds."""
    STOP_GRACEFUL = "stop-graceful"
    """A planned stop cuts off no run."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One place in a journal where an invariant does not hold."""

    invariant: Invariant
    detail: str
    time: float
    """By the runtime's clock, in seconds."""
