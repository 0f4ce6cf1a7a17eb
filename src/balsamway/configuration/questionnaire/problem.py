"""One problem in a questionnaire."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A value that was found in a file, and what was expected instead."""

    file: str
    place: str
    """Like `services[1].kinds[0].timeout_ms`; empty for the whole file."""
    found: str
    expected: str

    def __str__(self) -> str:
        place = self.place or "(whole file)"
        return f"{self.file}: {place}: found {self.found}, expected {self.expected}"
