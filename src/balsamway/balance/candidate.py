"""A target that may own slices."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CandidateState(StrEnum):
    """Whether a target may own slices, or must lose them."""

    LIVE = "live"
    WARMING = "warming"
    """The target runs, but is still in its cold start."""
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as the planner sees it."""

    name: str
    zone: str
    state: CandidateState = CandidateState.LIVE
    capacity: float = 1.0
    """How much load the target can take, relative to the others."""
