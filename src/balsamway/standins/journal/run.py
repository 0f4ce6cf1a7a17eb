"""One run of a request on a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunOutcome(StrEnum):
    """What became of a request that a target admitted."""

    APPLIED = "applied"
    """The request ran and its effect was applied."""
    REFUSED = "refused"
    """The request was refused without effect."""
    CANCELLED = "cancelled"
    """The caller's side cancelled the request before its effect."""
    CUT_OFF = "cut-off"
    """The target stopped before the request was through."""


@dataclass(frozen=True, slots=True)
class Run:
    """One request at one target, from its admission to its outcome."""

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
    """When a slot was taken; the time of admission where none was."""
    end: float
    outcome: RunOutcome
    counter: int = 0
    """How many runs the key then had on the target, this one included."""
