"""Where one part of a configuration comes from."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Explained:
    """One value of a configuration and the answer that it follows from."""

    path: str
    """The place in the configuration, like `services[0].slices`."""
    value: str
    """The value, as JSON."""
    answer: str
    """The place in the questionnaire."""
    rule: str
    """How the value follows from the answer."""

    def __str__(self) -> str:
        return f"from {self.answer}: {self.rule}"
