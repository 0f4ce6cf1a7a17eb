"""Options that bound how long a connection may be silent."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

UNACKNOWLEDGED_MS = 1_500
"""How long sent bytes may stay unacknowledged; a path takes a few ms."""
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES_AT_MOST = 2


def bound_silence(transport: asyncio.BaseTransport) -> None:
    """Makes a connection fail when its other end stops to acknowledge.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, PROBES_AT_MOST),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset, so that unsent bytes are dropped.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
