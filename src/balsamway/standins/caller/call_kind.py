"""One kind of request that simulated callers send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of request and its share of the load."""

    service: str
    kind: str
    idempotent: bool
    """Whether a request of this kind may run more than once."""
    timeout_seconds: float = 2.0
    """The caller's timeout, sent with each request."""
    share: float = 1.0
    """The share of the requests, as a weight relative to the other kinds."""
    body_bytes: int = 64
    """The size of the request body."""
