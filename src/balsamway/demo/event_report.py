"""What was seen of one event of a demonstration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventReport:
    """An event, and how long it took."""

    name: str
    seconds: float
