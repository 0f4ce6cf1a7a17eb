"""Defines the report of one event of a demonstration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventReport:
    """An event and its duration."""

    name: str
    seconds: float
