"""A planned stop of a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopAsked:
    """A target was asked to leave."""

    target: str
    time: float
