"""A target that slices may be placed on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CandidateState(StrEnum):
    """Whether a target may be given slices, or must lose them."""

    LIVE = "live"
    WARMING = "warming"
    """Up, but still in its cold start."""
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as placement sees it."""

    name: str
    zone: str
    state: CandidateState = CandidateState.LIVE
    capacity: float = 1.0
    """How much load it takes, relative to the others."""
