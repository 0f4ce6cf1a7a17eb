"""A large request body that is read while it arrives."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

from balsamway.exchange.streamed_body import BodyBroken, BodyTooLarge

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from aiohttp.streams import StreamReader

MAX_BUFFERED_BODY_BYTES = 1 << 20
"""Up to this size a body is read whole, so that a request may be sent again
after a refusal. Larger bodies of a few callers would take the memory of the
smallest hosts."""
MAX_WAITING_BYTES = 256 << 10
"""How many bytes wait in a stream before the caller is read no further. A
target that reads at 100 Mbit/s takes them in 20 ms, many times the time until
the caller is read again."""
DIGEST_BYTES = 16


class BodyStream:
    """Yields the pieces of a body, first those that were read before.

    Implements `StreamedBody`. While `MAX_WAITING_BYTES` wait to be read, the
    parser's stream pauses the connection of the caller.
    """

    def __init__(
        self,
        payload: StreamReader,
        first_pieces: Sequence[bytes],
        length: int | None,
        max_bytes: int,
        on_held: Callable[[int], None] = lambda held_bytes: None,
    ) -> None:
        """Continue a body that was read in part.

        Args:
            payload: The parser's stream of the body.
            first_pieces: What was read from it.
            length: The length that the caller named, None for a body in
                chunks.
            max_bytes: Bounds the body.
            on_held: Called with the bytes that the stream holds whenever a
                piece is taken, and with 0 when nothing else is read.
        """
        self._payload = payload
        self._first_pieces = collections.deque(first_pieces)
        self._length = length
        self._max_bytes = max_bytes
        self._on_held = on_held
        self._first_bytes = sum(len(piece) for piece in first_pieces)
        """The size of the first pieces that were not taken."""
        self._received_bytes = self._first_bytes
        """How much was read from the parser's stream."""
        self._digest = _digest(first_pieces)
        self.taken_bytes = 0
        """How much was taken with `read_chunk`."""
        self.is_started = False
        """Whether a piece was asked for, which may have been sent since."""
        self.is_complete = False
        """Whether the body was taken to its end."""
        on_held(self.held_bytes)

    @property
    def length(self) -> int | None:
        """The size in bytes, or None if it is not known yet."""
        return self._length

    @property
    def first_digest(self) -> bytes:
        """The hash of the first `MAX_BUFFERED_BODY_BYTES`."""
        return self._digest

    @property
    def ending(self) -> str:
        """How much was taken, as a word for logs and metrics."""
        if self.is_complete:
            return "complete"
        return "partial" if self.is_started else "unsent"

    @property
    def held_bytes(self) -> int:
        """The bytes that have arrived and were not taken."""
        return self._first_bytes + self._payload.total_bytes - self._received_bytes

    async def read_chunk(self) -> bytes:
        """Wait for the next piece; see `StreamedBody.read_chunk`."""
        self.is_started = True
        error = self._payload.exception()
        if error is not None:
            raise BodyBroken(str(error)) from error
        if self._first_pieces:
            piece = self._first_pieces.popleft()
            self._first_bytes -= len(piece)
        else:
            piece = await self._read_payload()
        self.taken_bytes += len(piece)
        self.is_complete = not piece
        self._on_held(self.held_bytes)
        return piece

    def close(self) -> None:
        """Drop what was not taken."""
        self._first_pieces.clear()
        self._first_bytes = 0
        self._on_held(0)

    async def _read_payload(self) -> bytes:
        try:
            piece = await self._payload.readany()
        except (OSError, RuntimeError) as error:
            raise BodyBroken(str(error)) from error
        self._received_bytes += len(piece)
        if self._received_bytes > self._max_bytes:
            raise BodyTooLarge(f"the body exceeds {self._max_bytes} bytes")
        return piece


async def read_body(
    payload: StreamReader,
    length: int | None,
    max_bytes: int,
    on_held: Callable[[int], None] = lambda held_bytes: None,
) -> bytes | BodyStream:
    """Read a body whole, or the first part of a large one.

    Args:
        payload: The parser's stream of the body.
        length: The length that the caller named, None for a body in chunks.
        max_bytes: Bounds the body.
        on_held: Called with the bytes that are held.

    Returns:
        The body, or a stream if it exceeds `MAX_BUFFERED_BODY_BYTES`.

    Raises:
        BodyBroken: If the body does not arrive to its end.
    """
    if length is not None and length > max_bytes:
        raise BodyTooLarge(f"the body exceeds {max_bytes} bytes")
    # One buffer, since many small pieces would take several times its memory.
    content = bytearray()
    try:
        while piece := await payload.readany():
            content += piece
            if len(content) > max_bytes:
                raise BodyTooLarge(f"the body exceeds {max_bytes} bytes")
            if len(content) > MAX_BUFFERED_BODY_BYTES:
                pieces = _split(content)
                return BodyStream(payload, pieces, length, max_bytes, on_held)
            on_held(len(content))
    except (OSError, RuntimeError) as error:
        raise BodyBroken(str(error)) from error
    return bytes(content)


def _split(content: bytearray) -> list[bytes]:
    begins = range(0, len(content), MAX_WAITING_BYTES)
    return [bytes(content[begin : begin + MAX_WAITING_BYTES]) for begin in begins]


def _digest(first_pieces: Sequence[bytes]) -> bytes:
    """Hash the first part, whose size doesn't depend on how it arrived."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    left_bytes = MAX_BUFFERED_BODY_BYTES
    for piece in first_pieces:
        digest.update(memoryview(piece)[:left_bytes])
        left_bytes -= min(left_bytes, len(piece))
    return digest.digest()
