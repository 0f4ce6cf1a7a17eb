"""Writes a streamed body in the framing of its request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.exchange.streamed_body import BodyBroken

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamway.exchange.streamed_body import StreamedBody

LAST_CHUNK = b"0\r\n\r\n"


async def write_body(
    body: StreamedBody,
    first_piece: bytes,
    write: Callable[[bytes], None],
    drain: Callable[[], Awaitable[None]],
) -> None:
    """Write a body, no faster than the connection accepts it.

    Args:
        body: The body. Its first piece has been read.
        first_piece: That piece.
        write: Writes bytes to the connection.
        drain: Waits until the connection accepts more bytes.

    Raises:
        BodyBroken: If the body doesn't arrive to its end, or differs from its
            length. What was written is then incomplete.
    """
    length = body.length
    written_bytes = 0
    piece = first_piece
    while piece:
        written_bytes += len(piece)
        if length is None:
            write(b"%x\r\n" % len(piece))
            write(piece)
            write(b"\r\n")
        elif written_bytes > length:
            raise BodyBroken(f"the body is longer than its length of {length} bytes")
        else:
            write(piece)
        await drain()
        piece = await body.read_chunk()
    if length is None:
        write(LAST_CHUNK)
    elif written_bytes < length:
        raise BodyBroken(f"the body ended after {written_bytes} of {length} bytes")
