"""Parses the bytes of one exchange into responses, within bounds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http import HttpResponseParser

from balsamway.targets.status_codes import is_final, is_interim

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader

BODY_BUFFER_BYTES = 1 << 20
"""The parser's buffer limit for a response body."""
MAX_HEADER_BYTES = 65_536
"""Bounds the size of a response's status line and of each header."""
MAX_RESPONSE_BYTES = 8 << 20
"""Bounds the bytes received in one exchange. A faulty target may send without
end."""
MAX_RESPONSE_HEADS = 32
"""Bounds the response heads received in one exchange: interim responses, late
responses to earlier requests, and the response itself."""
MAX_FRAMING_BYTES = 512 << 10
"""Bounds the bytes received in one exchange that are no part of a body: heads,
trailers, and what separates chunks."""
FRAMING_COST = 4
"""How much memory a byte of a head takes: it is held by the parser, as raw
bytes, and as text."""
MAX_CHUNK_FRAMING_BYTES = 32 << 10
"""Bounds the bytes after a head that are no part of its body. A chunk takes
processor time even if it is empty, and other callers wait for it."""
CHUNK_FRAMING_FRACTION = 0.5
"""How many more of these bytes are allowed for a byte of a body."""
HEAD_END = b"\r\n\r\n"
"""The bytes at the end of a response head."""
MAX_SPLITS = 2 * MAX_RESPONSE_HEADS
"""How often the bytes of an exchange are split where a head may end. A body
of blank lines has such places without end."""
CHUNKED_PIECE_BYTES = 16 << 10
"""How many bytes of a body in chunks are parsed between two checks of the
bounds."""


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that was received to its end."""

    head: RawResponseMessage
    body: bytes


class ResponseReader:
    """Parses the bytes that arrive in one exchange."""

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        max_bytes: int,
        has_body: bool,
    ) -> None:
        """Begin an exchange.

        Args:
            protocol: The protocol of the connection.
            loop: Its event loop.
            max_bytes: Bounds the bytes received.
            has_body: Whether a response may have a body.
        """
        self._parser = HttpResponseParser(
            protocol,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.has_leftover = False
        """Whether bytes arrived that belong to no response."""
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._body_bytes = 0
        """How many of the received bytes belong to bodies."""
        self._head_bytes = 0
        """How many belonged to no body when the last head ended."""
        self._received_heads = 0
        self._split_count = 0
        self._head: RawResponseMessage | None = None
        """The head of the response whose body has not ended."""
        self._payload: StreamReader | None = None
        self._body = bytearray()

    @property
    def held_bytes(self) -> int:
        """The memory, in bytes, that the received bytes take at most."""
        return self._body_bytes + FRAMING_COST * self._framing_bytes

    @property
    def _framing_bytes(self) -> int:
        return self._received_bytes - self._body_bytes

    def feed(self, data: bytes) -> Iterator[CompleteResponse]:
        """Parse received bytes.

        Args:
            data: The bytes.

        Yields:
            The responses that are complete with these bytes.

        Raises:
            ClientPayloadError: If a status or a body is invalid, or the bounds
                are exceeded.
            HttpProcessingError: If the bytes are no response.
            ValueError: If a number in them is invalid.
        """
        for piece in self._split_after_heads(data):
            self._received_bytes += len(piece)
            try:
                messages, upgraded, tail = self._parser.feed_data(piece)
            except Exception:
                # Bytes that can't be parsed may follow a complete body.
                yield from self._take_body()
                raise
            yield from self._take_body()
            for head, payload in messages:
                self._received_heads += 1
                if not (is_final(head.code) or is_interim(head.code)):
                    raise ClientPayloadError(f"the status {head.code:03} is invalid")
                self._head_bytes = self._framing_bytes
                self._head, self._payload = head, payload
                yield from self._take_body()
            if upgraded or tail:
                self.has_leftover = True
            self._check_bounds()

    def feed_eof(self) -> Iterator[CompleteResponse]:
        """Parse the end of the connection.

        Yields:
            The response that ends with the connection, if any.

        Raises:
            ClientPayloadError: If a body is incomplete.
            HttpProcessingError: If a head is incomplete.
            ValueError: If a number in it is invalid.
        """
        self._parser.feed_eof()
        yield from self._take_body()

    def _split_after_heads(self, data: bytes) -> Iterator[bytes]:
        """Yield received bytes in pieces that end where a head may end.

        A parser that fails returns nothing of the same call. A response would
        be lost with the bytes after it that are none.

        Args:
            data: The received bytes.

        Yields:
            The pieces, in order.
        """
        begin = 0
        while begin < len(data):
            in_chunks = self._head is not None and self._head.chunked
            end = begin + CHUNKED_PIECE_BYTES if in_chunks else len(data)
            if self._split_count < MAX_SPLITS:
                # The end of a head may stand across two pieces.
                search_from = max(0, begin - len(HEAD_END) + 1)
                head_end = data.find(HEAD_END, search_from, end)
                if head_end >= 0:
                    self._split_count += 1
                    end = head_end + len(HEAD_END)
            yield data[begin:end]
            begin = end

    def _take_body(self) -> Iterator[CompleteResponse]:
        """Take what arrived of the body, and yield the response at its end.

        The parser keeps an object for each chunk. Of many small chunks, these
        would take several times the memory of the body.
        """
        head, payload = self._head, self._payload
        if head is None or payload is None:
            return
        content = payload.read_nowait()
        self._body += content
        self._body_bytes += len(content)
        if payload.is_eof():
            response = CompleteResponse(head, bytes(self._body))
            self._head = self._payload = None
            self._body = bytearray()
            yield response

    def _check_bounds(self) -> None:
        if (
            self._received_bytes > self._max_bytes
            or self._received_heads > MAX_RESPONSE_HEADS
            or self._framing_bytes > MAX_FRAMING_BYTES
            or self._has_too_small_chunks()
        ):
            raise ClientPayloadError("the response does not end")

    def _has_too_small_chunks(self) -> bool:
        """Return whether a body has too many bytes between its chunks."""
        if self._payload is None:
            return False
        chunk_framing_bytes = self._framing_bytes - self._head_bytes
        allowed_bytes = (
            MAX_CHUNK_FRAMING_BYTES + CHUNK_FRAMING_FRACTION * self._body_bytes
        )
        return chunk_framing_bytes > allowed_bytes
