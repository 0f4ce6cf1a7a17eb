"""Bounds the bytes of the requests in progress at one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.entry.body_stream import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest

MAX_OFFERED_BYTES = 8 << 20
"""Bounds the bodies that one host offers to one target at a time. A target
keeps the bodies of its running and waiting requests in memory, and ends when
they exceed it."""
UNKNOWN_LENGTH_BYTES = MAX_OFFERED_BYTES
"""What a large body without a length counts. It may have any size, so nothing
else is offered beside it."""
DEFAULT_SECONDS = 0.25
"""The expected duration of a large body before the first has ended."""
DURATION_WEIGHT = 0.2
"""The weight of the newest duration in the mean, from 0 to 1."""


def offered_size(request: EntryRequest) -> int:
    """Return how many bytes of a target a request takes.

    Args:
        request: The request.
    """
    body = request.body
    if isinstance(body, bytes):
        return len(body)
    return UNKNOWN_LENGTH_BYTES if body.length is None else body.length


class OfferedBytes:
    """Counts the bytes of the bodies offered to one target by this host."""

    def __init__(self) -> None:
        self.total = 0
        """The bytes of the requests in progress."""
        self._large_since: dict[object, float] = {}
        """When each large body in progress began, in event loop time."""
        self._mean_seconds: float | None = None

    def has_room(self, size: int) -> bool:
        """Return whether a request may be sent beside those in progress.

        A body that exceeds the bound alone is allowed if there is no other.

        Args:
            size: The size of the request's body, in bytes.
        """
        return not size or not self.total or self.total + size <= MAX_OFFERED_BYTES

    @property
    def seconds_until_room(self) -> float:
        """The expected seconds until the first large body ends."""
        mean_seconds = self._mean_seconds or DEFAULT_SECONDS
        oldest_since = min(self._large_since.values(), default=now())
        return max(DEFAULT_SECONDS, oldest_since + mean_seconds - now())

    def begin(self, holder: object, size: int) -> None:
        """Count a request that is sent.

        Args:
            holder: Identifies the request until `end`.
            size: The size of its body, in bytes.
        """
        self.total += size
        if size > MAX_BUFFERED_BODY_BYTES:
            self._large_since[holder] = now()

    def end(self, holder: object, size: int) -> None:
        """Remove a request that has ended.

        Args:
            holder: What `begin` received.
            size: The same size.
        """
        self.total -= size
        began_at = self._large_since.pop(holder, None)
        if began_at is None:
            return
        seconds = now() - began_at
        mean_seconds = self._mean_seconds
        self._mean_seconds = (
            seconds
            if mean_seconds is None
            else mean_seconds + DURATION_WEIGHT * (seconds - mean_seconds)
        )
