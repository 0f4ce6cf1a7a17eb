"""The origin of one value of a configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Provenance:
    """A value of a configuration and the answer that it is derived from."""

    path: str
    """The path in the configuration, like `services[0].slices`."""
    value: str
    """The value, as JSON."""
    answer: str
    """The path in the questionnaire."""
    rule: str
    """How the value is derived from the answer."""

    def __str__(self) -> str:
        return f"from {self.answer}: {self.rule}"
