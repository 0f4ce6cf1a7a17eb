"""A complete request of a caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.entry.body_stream import BodyStream


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A request as a caller sent it, with the values of its headers."""

    request_id: str
    method: str
    host: str
    path: str
    """The path and the query, as sent."""
    headers: tuple[tuple[bytes, bytes], ...]
    """The headers that are passed on to a target, in the caller's order."""
    body: bytes | BodyStream
    """The whole body, or a stream of a large one, which can be read once."""
    arrived_at: float
    """When the request's head arrived, in event loop time."""
    caller_timeout_seconds: float | None
    """How long the caller waits after the arrival, or None if not limited."""
    key: int | None
    """The key that the request is for, or None if it has none."""
