"""Tells a target that has ended from one that dropped a connection."""

from __future__ import annotations

import asyncio

from balsamway.address import split_address
from balsamway.exchange.socket_options import reset_connection

PROBE_TIMEOUT_SECONDS = 0.1
"""Bounds the time to connect. The caller's response waits for it."""


async def is_refusing(address: str) -> bool:
    """Return whether connections to an address are refused.

    A target that was cut off does not refuse them, and neither does one that
    dropped a connection.

    Args:
        address: The `ip:port` of a target.
    """
    loop = asyncio.get_running_loop()
    try:
        ip, port = split_address(address)
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            transport, _ = await loop.create_connection(asyncio.Protocol, ip, port)
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError, TimeoutError):
        return False
    reset_connection(transport)
    return False
