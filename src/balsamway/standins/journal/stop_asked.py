"""A planned stop of a server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopAsked:
    """A server was asked to leave."""

    server: str
    time: float
