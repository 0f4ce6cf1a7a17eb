"""A range of keys with one holder."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.keyspace.holder import Holder


@dataclass(frozen=True, slots=True)
class Previous:
    """A holder that may still hold the keys of a segment."""

    holder: Holder
    release_token: int
    """The token to release with, above that of any grant to the holder."""


@dataclass(frozen=True, slots=True)
class Segment:
    """Keys from `first` to `last`, both included, that one target holds."""

    first: int
    last: int
    holder: Holder
    token: int
    """The fencing token of the holder's grant."""
    previous: tuple[Previous, ...] = ()
    """Holders to be released, or to lapse, before the grant."""

    @property
    def keys(self) -> tuple[int, int]:
        """The first and the last key."""
        return (self.first, self.last)

    @property
    def size(self) -> int:
        """How many keys there are."""
        return self.last - self.first + 1
