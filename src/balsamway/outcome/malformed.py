"""Input that does not have the form that was expected."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Malformed:
    """A body that is not what it should be."""

    reason: str
