"""Limits on callers' requests and connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds the size of callers' requests and the times of connections."""

    header_bytes: int = 16_384
    """Bounds each line and field in a request's head, and their number."""
    body_bytes: int = 64 * 1024 * 1024
    """Bounds the body of a request."""
    header_seconds: float = 3.0
    """Bounds how long the head of a request takes to arrive."""
    idle_seconds: float = 15.0
    """Bounds how long a connection stays open without a request."""
