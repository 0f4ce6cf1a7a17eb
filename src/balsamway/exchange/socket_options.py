"""Socket options that detect unresponsive peers, and resets."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

MAX_UNACKNOWLEDGED_MS = 1_500
"""Bounds how long sent bytes may stay unacknowledged. The network path takes
a few ms."""
KEEPALIVE_IDLE_SECONDS = 1
"""How long a connection is idle before the first keepalive probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""The time between keepalive probes."""
MAX_KEEPALIVE_PROBES = 2
"""The number of unacknowledged probes after which a connection fails."""


def bound_silence(transport: asyncio.BaseTransport) -> None:
    """Make a connection fail when its peer stops acknowledging bytes.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its unsent bytes are dropped.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
