"""How callers' headers are understood."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry.entry_request import EntryRequest
    from balsamway.outcome import NotRun


class CallerCodec(Protocol):
    """Reads a caller's request."""

    def read_request(
        self, head: RawRequestMessage, body: bytes, arrived: float
    ) -> EntryRequest | NotRun:
        """Reads a request.

        Args:
            head: Its parsed head.
            body: Its whole body.
            arrived: When its head arrived, by the runtime's clock.

        Returns:
            The request, or why it is refused.
        """
        ...
