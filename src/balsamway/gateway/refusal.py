"""The refusal of a request before it was routed."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.outcome import NotRun


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a request before it was routed."""

    verdict: NotRun
    request_id: str
    closes_connection: bool = False
    """Whether the caller's connection is closed after the response."""
