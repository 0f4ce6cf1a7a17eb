"""A kind of request that callers send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallKind:
    """A share of the load."""

    service: str
    kind: str
    idempotent: bool
    timeout_seconds: float = 2.0
    share: float = 1.0
    """Relative to the other kinds."""
    body_bytes: int = 64
