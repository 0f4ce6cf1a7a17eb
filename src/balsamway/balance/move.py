"""A planned change of a slice's owner."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange


@dataclass(frozen=True, slots=True)
class Move:
    """Moves one slice, as it is in the record, to another target."""

    range: KeyRange
    to: str
