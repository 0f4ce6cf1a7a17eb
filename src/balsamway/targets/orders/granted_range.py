"""A range that a target owns while its grant lasts."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """A range that a target owns while its grant lasts."""

    range: KeyRange
    epoch: int
