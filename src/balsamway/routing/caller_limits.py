"""What a caller may send, and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on a caller's request and connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    """How long the head of a request may take to arrive."""
    idle_timeout_seconds: float = 15.0
    """How long a connection stays open without a request."""
