"""A slice as the shard's record stores it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange


@dataclass(frozen=True, slots=True)
class SliceEntry:
    """A slice with its owner, its standby and its move in progress, if any."""

    range: KeyRange
    owner: str
    """The target that owns the slice. Empty before the first assignment."""
    epoch: int
    """The grant epoch, which rises with every change of owner."""
    standby: str = ""
    """The target that becomes the owner if the owner is lost, or empty."""
    moving_to: str = ""
    """The target to which the slice is moving, or empty."""
