"""Reads frames from a stream."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgpack

from balsamway.peers.codec import UnknownMessageError, decode

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

    from balsamway.peers.codec import Frame

READ_SIZE_BYTES = 65_536
"""The most bytes that are read from a stream at once."""
MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Bounds the size of one encoded frame."""

logger = logging.getLogger(__name__)


async def read_frames(reader: asyncio.StreamReader) -> AsyncIterator[Frame]:
    """Yield the frames of a stream until it ends.

    A frame with an unknown message is skipped, so that hosts of neighbouring
    versions can communicate.

    Args:
        reader: The stream.

    Yields:
        The frames, in the order of the stream.

    Raises:
        OSError: If the connection fails.
        ValueError: If the bytes are not msgpack, or a frame is too large.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES, strict_map_key=False)
    while data := await reader.read(READ_SIZE_BYTES):
        try:
            unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise ValueError(f"a frame has over {MAX_FRAME_BYTES} bytes") from error
        for parts in unpacker:
            try:
                yield decode(parts)
            except UnknownMessageError as error:
                logger.warning("unknown message skipped", extra={"error": str(error)})
