"""The interface that decodes callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry.body_stream import BodyStream
    from balsamway.entry.entry_request import EntryRequest
    from balsamway.outcome import NotRun


class CallerCodec(Protocol):
    """Decodes callers' requests and their headers."""

    def read_request(
        self, head: RawRequestMessage, body: bytes | BodyStream, arrived: float
    ) -> EntryRequest | NotRun:
        """Decode a request.

        Args:
            head: The parsed head of the request.
            body: The complete body of the request, or a stream of it.
            arrived: When the head arrived, in event loop time.

        Returns:
            The request, or why it is refused.
        """
        ...
