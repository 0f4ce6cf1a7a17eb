"""One kind of request to a service."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.urgency import Urgency


@dataclass(frozen=True, slots=True)
class RequestKind:
    """The configuration of one kind of request."""

    name: str
    idempotent: bool
    """Whether the request may safely run more than once."""
    timeout_seconds: float
    """The longest time for a request; a caller may set a shorter one."""
    urgency: Urgency = Urgency.NORMAL
    body_limit_bytes: int = 262_144
