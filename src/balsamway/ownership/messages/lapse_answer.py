"""What a leader whose authority has ended knows of its grants."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.ownership.messages.granted_slice import GrantedSlice
from balsamway.ownership.messages.target_lapse import TargetLapse
from balsamway.peers.codec import message


@message("lapse-answer")
@dataclass(frozen=True, slots=True)
class LapseAnswer:
    """Says when the grants and views of an epoch that has ended run out."""

    slices: tuple[GrantedSlice, ...]
    targets: tuple[TargetLapse, ...]
    views_seconds: float
    """How long the last view that a gateway has may last yet."""
