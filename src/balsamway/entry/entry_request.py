"""A caller's request, whole."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A request as a caller sent it, with what its headers say."""

    request_id: str
    method: str
    host: str
    path: str
    """The path and the query, as sent."""
    headers: tuple[tuple[bytes, bytes], ...]
    """The headers that go on to a target, in the caller's order."""
    body: bytes
    arrived_at: float
    """When its head arrived, by the runtime's clock."""
    caller_timeout_seconds: float | None
    """How long the caller waits, from its arrival; None if it does not say."""
    key: int | None
    """The key that it is about; None if it names none."""
