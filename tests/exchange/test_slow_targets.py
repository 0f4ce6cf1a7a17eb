"""Targets that acknowledge a request and read it slowly or late."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balsamway.exchange import ConnectionPool, HttpRequest, HttpResponse, ResponseLost
from balsamway.exchange.socket_options import MAX_UNACKNOWLEDGED_MS, UNBOUNDED_MS
from balsamway.exchange.target_connection import SMALL_REQUEST_BYTES
from tests.fakes.scripted_target import answer, read_head

RECEIVE_BUFFER_BYTES = 4_096
BODY_BYTES = 400_000
"""A body that is not streamed, and more than the buffers hold."""
SEND_BUFFER_BYTES = 64_000
PAUSE_SECONDS = 2.5
"""Longer than the system may wait for acknowledgements of a small request."""
TIMEOUT_SECONDS = 8.0


class SlowTarget:
    """Pauses before it reads a body, and in the middle of it."""

    def __init__(self):
        self.pause_seconds = PAUSE_SECONDS
        self.is_early = False
        self.received_bytes = 0
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.bind(("127.0.0.1", 0))
        self._server = None

    @property
    def address(self):
        ip, port = self._sock.getsockname()
        return f"{ip}:{port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, sock=self._sock, limit=4096
        )

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                length = int(head[1].get("content-length", "0"))
                if self.is_early:
                    writer.write(answer("r1"))
                for part in (length // 2, length - length // 2):
                    await asyncio.sleep(self.pause_seconds if length else 0)
                    self.received_bytes += len(await reader.readexactly(part))
                if not self.is_early:
                    writer.write(answer("r1"))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@pytest.fixture
async def target():
    target = SlowTarget()
    await target.start()
    yield target
    target.stop()


@pytest.fixture
async def connection(target):
    pool = ConnectionPool(target.address, 1)
    connection = await pool.acquire()
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    yield connection
    connection.abort()


def request(body_bytes):
    headers = ((b"Host", b"h"), (b"Balsamway-Request-Id", b"r1"))
    return HttpRequest("POST", "/a/", headers, b"x" * body_bytes, "r1")


def bound_ms(connection):
    sock = connection.transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


# Guards against requests that are broken off while their target is at work.
async def test_a_target_that_reads_slowly_gets_the_whole_body(target, connection):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        response = await connection.exchange(request(BODY_BYTES))
    assert isinstance(response, HttpResponse)
    assert target.received_bytes == BODY_BYTES


# Guards against a vanished target that is noticed at the deadline only.
async def test_small_requests_keep_the_short_bound(target, connection):
    target.pause_seconds = 0.0
    assert bound_ms(connection) == MAX_UNACKNOWLEDGED_MS
    exchange = asyncio.create_task(connection.exchange(request(BODY_BYTES)))
    await asyncio.sleep(0)
    assert bound_ms(connection) == UNBOUNDED_MS
    assert isinstance(await exchange, HttpResponse)
    assert bound_ms(connection) == MAX_UNACKNOWLEDGED_MS
    exchange = asyncio.create_task(
        connection.exchange(request(SMALL_REQUEST_BYTES // 2))
    )
    await asyncio.sleep(0)
    assert bound_ms(connection) == MAX_UNACKNOWLEDGED_MS
    assert isinstance(await exchange, HttpResponse)


# Guards against a next request that is lost for what the last one left unread.
async def test_a_body_that_is_unread_after_its_response_keeps_its_time(
    target, connection
):
    target.is_early = True
    response = await connection.exchange(request(SEND_BUFFER_BYTES // 2))
    assert isinstance(response, HttpResponse)
    assert connection.is_usable
    assert bound_ms(connection) == UNBOUNDED_MS


async def test_a_target_that_never_reads_is_given_up_at_the_deadline(
    target, connection
):
    target.pause_seconds = 60.0
    exchange = connection.exchange(request(BODY_BYTES))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(PAUSE_SECONDS):
            result = await exchange
            assert not isinstance(result, ResponseLost)
    assert not connection.is_usable
