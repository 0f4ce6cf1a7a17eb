"""A slice as a previous leader last granted it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange


@dataclass(frozen=True, slots=True)
class GrantedSlice:
    """A slice's last owner, and how long another target may hold the slice."""

    range: KeyRange
    owner: str
    """The target that the slice was last granted to."""
    epoch: int
    """The grant epoch, which is the grant's fencing token."""
    others_seconds: float
    """How long a target other than the owner may still hold the slice."""
