"""A request to a target to stop as planned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopAsked:
    """A target was asked to drain and stop.

    `time` is event loop time, in seconds.
    """

    target: str
    time: float
