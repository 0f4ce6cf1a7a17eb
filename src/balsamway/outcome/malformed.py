"""Input that could not be decoded."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Malformed:
    """Content that does not have the expected form."""

    reason: str
