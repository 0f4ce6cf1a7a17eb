"""Socket options that detect unresponsive peers, and resets."""

from __future__ import annotations

import fcntl
import os
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

MAX_UNACKNOWLEDGED_MS = 1_500
"""Bounds how long sent bytes may stay unacknowledged. The network path takes
a few ms."""
UNBOUNDED_MS = 0
"""Leaves it to the system how long sent bytes may stay unacknowledged, which
is many minutes."""
KEEPALIVE_IDLE_SECONDS = 1
"""How long a connection is idle before the first keepalive probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""The time between keepalive probes."""
MAX_KEEPALIVE_PROBES = 2
"""The number of unacknowledged probes after which a connection fails."""


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Make a connection fail when its peer vanishes while nothing is sent.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def bound_unacknowledged(transport: asyncio.BaseTransport, milliseconds: int) -> None:
    """Make a connection fail when sent bytes make no progress for too long.

    The system counts the time in which the peer has vanished, and the time in
    which it acknowledges bytes and leaves them unread.

    Args:
        transport: The transport of a TCP connection.
        milliseconds: The longest time without progress.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def bound_silence(transport: asyncio.BaseTransport) -> None:
    """Make a connection fail soon when its peer vanishes at any time.

    A peer that reads nothing fails as well once its buffer is full, so this
    suits peers whose messages are small or repeated.

    Args:
        transport: The transport of a TCP connection.
    """
    enable_keepalive(transport)
    bound_unacknowledged(transport, MAX_UNACKNOWLEDGED_MS)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes the peer has not acknowledged.

    Args:
        transport: The transport of a TCP connection.

    Returns:
        The bytes in the system's buffer; 0 if the system doesn't tell.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return int(struct.unpack("i", count)[0])


def receive_unread(transport: asyncio.Transport, max_bytes: int) -> bytes:
    """Return what a connection received before its write failed.

    A target that responds before it has read a body may reset the connection
    right after. If the reset is noticed by a write, the system still has the
    bytes of the response.

    Args:
        transport: The transport of a TCP connection, not closed yet.
        max_bytes: Bounds the bytes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return b""
    received = bytearray()
    with socket.socket(fileno=os.dup(sock.fileno())) as copy:
        copy.setblocking(False)
        try:
            while len(received) < max_bytes and (data := copy.recv(max_bytes)):
                received += data
        except OSError:
            pass
    return bytes(received)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its unsent bytes are dropped.

    Args:
        transport: The transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
