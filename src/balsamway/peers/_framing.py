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
FRAME_LIMIT_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)


async def frames(reader: asyncio.StreamReader) -> AsyncIterator[Frame]:
    """Yields the frames of a stream until it ends.

    A frame that this host does not know is skipped, so that hosts of
    neighbouring versions can talk.

    Args:
        reader: The stream.

    Yields:
        The frames, in their order.

    Raises:
        OSError: If the connection broke.
        ValueError: If the bytes are no msgpack, or a frame is too large.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES, strict_map_key=False)
    while data := await reader.read(READ_SIZE_BYTES):
        unpacker.feed(data)
        for parts in unpacker:
            try:
                yield decode(parts)
            except UnknownMessageError as error:
                logger.warning("unknown message skipped", extra={"error": str(error)})
