"""A slice as the shard's record holds it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange


@dataclass(frozen=True, slots=True)
class SliceEntry:
    """One slice, its owner, and the move it is in, if any."""

    range: KeyRange
    owner: str
    """The target that owns the slice; empty before the first assignment."""
    epoch: int
    """The fencing token of the grant; grows at every change of owner."""
    standby: str = ""
    """The target that takes over if the owner is lost; empty for none."""
    moving_to: str = ""
    """The target the slice is being moved to; empty for none."""
