"""Parses the bytes of a caller into requests, within bounds."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import BadHttpMessage

from balsamway.entry.body_stream import MAX_WAITING_BYTES

if TYPE_CHECKING:
    import asyncio

    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

BODY_BUFFER_BYTES = MAX_WAITING_BYTES // 2
"""The parser's buffer limit for a request body. The parser pauses reading at
twice this limit."""
LINE_COST_BYTES = 512
"""The memory that a line of a head takes besides its bytes: 160 for a line of
4 bytes with a known name, 490 for one with a name of its own."""
PIECE_BYTES = 8 << 10
"""How many bytes of a body in chunks are parsed at once."""
BODY_PIECE_BYTES = 64 << 10
"""How many bytes of a body with a length are parsed at once."""
MIN_PIECE_WORK_BYTES = 256
"""What a short piece counts as at least. Each is a call of the parser."""
LINE_WORK_BYTES = 16
"""What a line of a head counts as in addition to its bytes."""
FRAMING_WORK = 8
"""How much more work a byte between chunks is than one of a head. A chunk of
1 byte has 5, and takes as long as a line."""
BODY_WORK = 0.25
"""How much less work a byte of a body is. It is only copied."""
SECTION_END = b"\r\n\r\n"
"""The bytes at the end of a head, and of a body in chunks."""
_BLANK = re.compile(rb"[\r\n]*")


class HeadTooLarge(Exception):
    """A head, or a trailer, has more bytes than are allowed."""


class StartedRequest(NamedTuple):
    """A request whose head has been read."""

    head: RawRequestMessage
    payload: StreamReader
    cost_bytes: int
    """The memory that the head takes."""


class RequestReader:
    """Gives a parser exactly one head, or a piece of one body, at a time.

    A request is thus known as soon as its head has ended, whatever bytes
    follow. How the bytes were split on their way makes no difference.
    """

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        max_header_bytes: int,
    ) -> None:
        """Create a reader at the beginning of a connection.

        Args:
            protocol: The protocol of the connection.
            loop: Its event loop.
            max_header_bytes: Bounds a head, with what precedes it.
        """
        self.parser = HttpRequestParser(
            protocol,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=max_header_bytes,
            max_headers=max_header_bytes,
            max_field_size=max_header_bytes,
            payload_exception=ConnectionResetError,
            auto_decompress=False,
        )
        self.is_upgraded = False
        """Whether the caller asked for another protocol."""
        self._max_header_bytes = max_header_bytes
        self._data = b""
        self._position = 0
        self._payload: StreamReader | None = None
        """The body that has not ended."""
        self._remaining_bytes: int | None = None
        """What is left of that body, or None if it is sent in chunks."""
        self._is_in_line = False
        """Whether the head has begun, after any empty lines."""
        self._head_bytes = 0
        self._head_lines = 0
        self._trailer_bytes = 0
        """The bytes since the last byte of a body in chunks."""
        self._last_bytes = b""
        """The last bytes that were parsed, which may begin a section end."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes are left to be parsed."""
        return self._position < len(self._data)

    @property
    def is_in_head(self) -> bool:
        """Whether a head, or empty lines, began to arrive and did not end."""
        return self._head_bytes > 0

    @property
    def has_head_begun(self) -> bool:
        """Whether a head began to arrive and did not end.

        Empty lines before a head may be left from the last request.
        """
        return self._is_in_line

    @property
    def is_in_body(self) -> bool:
        """Whether a body began to arrive and did not end."""
        return self._payload is not None and not self._payload.is_eof()

    @property
    def held_bytes(self) -> int:
        """The memory of the unread bytes and of an incomplete head."""
        return len(self._data) + self._head_cost

    @property
    def _head_cost(self) -> int:
        return 2 * self._head_bytes + LINE_COST_BYTES * self._head_lines

    def add(self, data: bytes) -> None:
        """Add received bytes.

        Args:
            data: The bytes.
        """
        if self.has_unread:
            data = self._data[self._position :] + data
        self._data, self._position = data, 0

    def resume(self) -> None:
        """Parse what the parser held back while its reader was paused."""
        if self._payload is not None:
            self.parser.feed_data(b"")

    def read_next(self) -> tuple[StartedRequest | None, int]:
        """Parse the next piece.

        Returns:
            The request whose head ended, if any, and the number of bytes that
            the work for the piece counts as.

        Raises:
            HeadTooLarge: If a head or a trailer exceeds its bound.
            HttpProcessingError: If the bytes are no request.
            ValueError: If a number in them is invalid.
        """
        if self._payload is not None and self._payload.is_eof():
            self._payload = None
        if self._payload is None:
            return self._read_head()
        return None, self._read_body(self._payload)

    def _read_head(self) -> tuple[StartedRequest | None, int]:
        begin = self._position
        if not self._is_in_line:
            if self._data[begin] in SECTION_END:
                begin = _match_end(self._data, begin)
            self._is_in_line = begin < len(self._data)
            self._last_bytes = b""
        end, is_whole = self._find_section_end(begin, len(self._data))
        left_bytes = self._max_header_bytes - self._head_bytes
        is_too_large = end - self._position > left_bytes
        if is_too_large:
            # The bytes up to the bound are parsed first, so that a malformed
            # head is one however it is split.
            end, is_whole = self._position + left_bytes, False
        size = end - self._position
        self._head_bytes += size
        piece = self._take(end)
        lines = piece.count(b"\n")
        self._head_lines += lines
        messages, self.is_upgraded, _ = self.parser.feed_data(piece)
        if is_too_large:
            raise HeadTooLarge("the head has more bytes than are allowed")
        if bool(messages) != (is_whole and self._is_in_line) or len(messages) > 1:
            raise BadHttpMessage("the head does not end with an empty line")
        work_bytes = MIN_PIECE_WORK_BYTES + size + LINE_WORK_BYTES * lines
        return self._start(*messages[0]) if messages else None, work_bytes

    def _start(self, head: RawRequestMessage, payload: StreamReader) -> StartedRequest:
        started = StartedRequest(head, payload, self._head_cost)
        self._head_bytes = self._head_lines = self._trailer_bytes = 0
        self._is_in_line = False
        self._last_bytes = b""
        if not payload.is_eof():
            self._payload = payload
            self._remaining_bytes = (
                None if head.chunked else int(head.headers.get("Content-Length", "0"))
            )
        return started

    def _read_body(self, payload: StreamReader) -> int:
        begin = self._position
        if self._remaining_bytes is not None:
            size = min(self._remaining_bytes, len(self._data) - begin, BODY_PIECE_BYTES)
            self._remaining_bytes -= size
            self._feed_body(self._take(begin + size))
            return MIN_PIECE_WORK_BYTES + int(BODY_WORK * size)
        stop = min(begin + PIECE_BYTES, len(self._data))
        end, _ = self._find_section_end(begin, stop)
        body_bytes = payload.total_bytes
        self._feed_body(self._take(end))
        new_bytes = payload.total_bytes - body_bytes
        if new_bytes:
            self._trailer_bytes = 0
        else:
            self._trailer_bytes += end - begin
        if self._trailer_bytes > self._max_header_bytes and not payload.is_eof():
            raise HeadTooLarge("the trailer has more bytes than are allowed")
        framing_bytes = max(0, end - begin - new_bytes)
        work_bytes = int(BODY_WORK * new_bytes) + FRAMING_WORK * framing_bytes
        return MIN_PIECE_WORK_BYTES + work_bytes

    def _feed_body(self, piece: bytes) -> None:
        messages, self.is_upgraded, _ = self.parser.feed_data(piece)
        if messages:
            raise BadHttpMessage("the body does not end where it should")

    def _take(self, end: int) -> bytes:
        begin = self._position
        whole = begin == 0 and end == len(self._data)
        piece = self._data if whole else self._data[begin:end]
        self._position = end
        if end == len(self._data):
            self._data, self._position = b"", 0
        return piece

    def _find_section_end(self, begin: int, stop: int) -> tuple[int, bool]:
        """Find where the current head or body in chunks may end.

        Returns:
            The end of the bytes up to there, and whether it was found.
        """
        kept = self._last_bytes
        if kept:
            joined = kept + self._data[begin : min(begin + 3, stop)]
            index = joined.find(SECTION_END)
            if index >= 0:
                self._last_bytes = b""
                return begin + index + len(SECTION_END) - len(kept), True
        index = self._data.find(SECTION_END, begin, stop)
        if index >= 0:
            self._last_bytes = b""
            return index + len(SECTION_END), True
        self._last_bytes = (kept + self._data[max(begin, stop - 3) : stop])[-3:]
        return stop, False


def _match_end(data: bytes, begin: int) -> int:
    match = _BLANK.match(data, begin)
    return begin if match is None else match.end()
