"""Read the body of a response that may not end."""

from __future__ import annotations

import aiohttp

MAX_CONTROL_BYTES = 1 << 20
"""Bounds the body of a response to an order, a probe or a cancellation. A
report of grants has some hundred bytes for each range."""
READ_BYTES = 64 << 10
"""How many bytes are read at once."""


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_CONTROL_BYTES
) -> bytes:
    """Read the body of a response.

    Args:
        response: The response, of which only the head was read.
        max_bytes: Bounds the body.

    Returns:
        The whole body.

    Raises:
        aiohttp.ClientPayloadError: If the body is longer, or incomplete. The
            connection is closed.
    """
    body = bytearray()
    async for content in response.content.iter_chunked(READ_BYTES):
        body += content
        if len(body) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"the body has over {max_bytes} bytes")
    return bytes(body)
