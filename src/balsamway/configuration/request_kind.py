"""One kind of request to a service."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.urgency import Urgency


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What was promised for one kind of request."""

    name: str
    idempotent: bool
    """Whether the request may run more than once."""
    timeout_seconds: float
    """The longest time that a caller waits; shorter deadlines are kept."""
    urgency: Urgency = Urgency.NORMAL
    body_limit_bytes: int = 262_144
