"""A range that a target owns until its grant expires."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """A range that a target owns until its grant expires."""

    range: KeyRange
    epoch: int
    """The grant epoch, which is the fencing token of the range."""
