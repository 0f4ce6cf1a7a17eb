"""A contiguous range of keys with one owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.keyspace.target_incarnation import TargetIncarnation


@dataclass(frozen=True, slots=True)
class PreviousOwner:
    """An owner that may still have a valid grant for the keys of a segment."""

    owner: TargetIncarnation
    release_token: int
    """The release's fencing token, above that of any grant to the owner."""


@dataclass(frozen=True, slots=True)
class Segment:
    """The keys from `first` to `last`, both included, that one target owns."""

    first: int
    last: int
    owner: TargetIncarnation
    token: int
    """The fencing token of the owner's grant."""
    previous_owners: tuple[PreviousOwner, ...] = ()
    """The owners whose grants must be released or expire before this grant."""

    @property
    def keys(self) -> tuple[int, int]:
        """The first and the last key."""
        return (self.first, self.last)

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1
