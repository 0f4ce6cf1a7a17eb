"""A request that was refused before it reached the gateway proper."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.outcome import NotRun


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused before it reached the gateway proper."""

    verdict: NotRun
    request_id: str
    closes: bool = False
    """Whether the caller's connection is closed after the answer."""
