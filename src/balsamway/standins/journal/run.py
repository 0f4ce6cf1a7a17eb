"""One run of a request on a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunOutcome(StrEnum):
    """How a request ended that reached a target."""

    APPLIED = "applied"
    """The request ran and its effect was applied."""
    REFUSED = "refused"
    """The request was refused without effect."""
    CANCELLED = "cancelled"
    """The request was cancelled from the caller's side before its effect."""
    CUT_OFF = "cut-off"
    """The target stopped before the request was finished."""


@dataclass(frozen=True, slots=True)
class Run:
    """One request at one target, from its admission to its outcome.

    Times are in event loop time, in seconds.
    """

    target: str
    workspace: str
    service: str
    kind: str
    request_id: str
    key: str
    position: int
    """The key's position; -1 for a service without exclusive keys."""
    shard: str
    epoch: int
    admitted: float
    start: float
    """When the request took a slot; its admission time if it took none."""
    end: float
    outcome: RunOutcome
    counter: int = 0
    """How many runs the key had had on the target, including this one."""
