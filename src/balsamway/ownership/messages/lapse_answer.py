"""A report of the grants of a leader whose authority has ended."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.ownership.messages.granted_slice import GrantedSlice
from balsamway.ownership.messages.target_lapse import TargetLapse
from balsamway.peers.codec import message


@message("lapse-answer")
@dataclass(frozen=True, slots=True)
class LapseAnswer:
    """Reports when the grants and views of an ended leader epoch expire."""

    slices: tuple[GrantedSlice, ...]
    targets: tuple[TargetLapse, ...]
    views_seconds: float
    """How long the last view of any gateway remains valid."""
