"""A slice as the leader before last granted it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange


@dataclass(frozen=True, slots=True)
class GrantedSlice:
    """The target that may hold a slice, and how long another one may."""

    range: KeyRange
    owner: str
    epoch: int
    """The fencing token of the grant."""
    others_seconds: float
    """How long another target than the owner may hold the slice yet."""
