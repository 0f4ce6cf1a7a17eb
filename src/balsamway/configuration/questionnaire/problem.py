"""One thing that is wrong in a file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """What was found at a place, and what was expected there."""

    file: str
    place: str
    """Like `services[1].kinds[0].timeout_ms`; empty for the whole file."""
    found: str
    expected: str

    def __str__(self) -> str:
        place = self.place or "(whole file)"
        return f"{self.file}: {place}: found {self.found}, expected {self.expected}"
