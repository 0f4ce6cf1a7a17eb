"""The invariants that the checker verifies, and a violation of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Invariant(StrEnum):
    """A rule that must hold throughout a run."""

    SOLE_OWNER = "sole-owner"
    """No key position is owned by two targets at once."""
    RUN_UNDER_OWNERSHIP = "run-under-ownership"
    """No request runs on a target while another one owns its key."""
    ASSIGNMENT_KEPT = "assignment-kept"
    """An assignment reported as in force is replaced by later ones only."""
    RUN_AT_MOST_ONCE = "run-at-most-once"
    """A request that is not idempotent runs at most once."""
    ANSWER_FROM_RUN = "answer-from-run"
    """A request reported as completed has run."""
    NOT_RUN_IS_TRUE = "not-run-is-true"
    """A request refused as not run has not run and does not run later."""
    VERSION_GROWS = "version-grows"
    """The configuration version in force on a host never decreases."""
    ANSWER_WHOLE = "answer-whole"
    """A response is complete and belongs to its request."""
    LEAVING_IDLE = "leaving-idle"
    """A draining target admits no new requests after a few seconds."""
    STOP_GRACEFUL = "stop-graceful"
    """A planned stop of a target cuts off no run."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One place in a journal where an invariant does not hold."""

    invariant: Invariant
    detail: str
    time: float
    """When it occurred, in event loop time, in seconds."""
