"""A planned split of a slice, which keeps its owner."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class Split:
    """Splits one slice into two or more."""

    range: KeyRange
    at: tuple[int, ...]
    """The starts of the new slices after the first, in order."""
