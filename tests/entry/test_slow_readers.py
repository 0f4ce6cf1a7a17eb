"""Callers that read their responses slowly, late or never."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balsamway.outcome import Completed
from balsamway.routing import CallerLimits
from tests.entry.test_caller_bounds import until
from tests.entry.test_caller_connection import connect, forwarder, get, listener

__all__ = ["connect", "forwarder", "listener"]

RESPONSE_BYTES = 300_000
RECEIVE_BUFFER_BYTES = 4_096
PAUSE_SECONDS = 2.5
"""Longer than the system may wait for acknowledgements in other exchanges."""
END_SECONDS = 10.0


@pytest.fixture
async def slow_caller(listener):
    """A connection of a caller with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    ip, port = listener.address.split(":")
    await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
    yield sock
    sock.close()


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def receive(sock, pause=None):
    """Read until all of a response has come, and return how much did."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(END_SECONDS):
        while b"\r\n\r\n" not in data or len(data) < body_begin(data) + RESPONSE_BYTES:
            piece = await loop.sock_recv(sock, 65_536)
            if not piece:
                break
            data += piece
            if pause is not None:
                await pause(len(data))
    return len(data) - body_begin(data)


def body_begin(data):
    return data.index(b"\r\n\r\n") + 4


def respond(forwarder, request_id):
    forwarder.hold(request_id).set_result(Completed(200, {}, b"x" * RESPONSE_BYTES))


# Guards against responses that are cut off while their caller reads nothing.
async def test_a_caller_that_reads_nothing_for_a_while_gets_the_whole_response(
    forwarder, slow_caller
):
    for request_id in ("r1", "r2"):
        respond(forwarder, request_id)
        await send(slow_caller, get(request_id))
        await asyncio.sleep(PAUSE_SECONDS)
        assert await receive(slow_caller) == RESPONSE_BYTES


# Guards against responses that are cut off while their caller pauses.
async def test_a_caller_that_pauses_between_pieces_gets_the_whole_response(
    forwarder, slow_caller
):
    pauses = [RESPONSE_BYTES // 3, 2 * RESPONSE_BYTES // 3]

    async def pause(received_bytes):
        if pauses and received_bytes > pauses[0]:
            pauses.pop(0)
            await asyncio.sleep(PAUSE_SECONDS)

    respond(forwarder, "r1")
    await send(slow_caller, get("r1"))
    assert await receive(slow_caller, pause) == RESPONSE_BYTES


# Guards against a planned stop that cuts off what a slow caller has not read.
async def test_a_caller_that_reads_late_in_a_stop_gets_the_whole_response(
    forwarder, listener, slow_caller
):
    respond(forwarder, "r1")
    await send(slow_caller, get("r1"))
    await until(lambda: forwarder.requests)
    stop = asyncio.create_task(listener.drain(0.1, END_SECONDS))
    await asyncio.sleep(PAUSE_SECONDS)
    assert await receive(slow_caller) == RESPONSE_BYTES
    await stop


# Guards against connections that callers keep open without reading.
@pytest.mark.parametrize("response_bytes", [3_000, RESPONSE_BYTES, 16_000_000])
async def test_a_caller_that_never_reads_loses_its_connection(
    forwarder, listener, slow_caller, response_bytes
):
    listener.limits = CallerLimits(idle_timeout_seconds=0.5)
    forwarder.hold("r1").set_result(Completed(200, {}, b"x" * response_bytes))
    await send(slow_caller, get("r1"))
    await until(lambda: forwarder.requests)
    await until(lambda: listener.connection_count == 0)
    assert listener.budget.held_bytes == 0


# Guards against callers that vanish without a word: keepalive probes end them.
async def test_probes_are_sent_while_a_request_is_in_progress(
    forwarder, listener, slow_caller
):
    forwarder.hold("r1")
    await send(slow_caller, get("r1"))
    await until(lambda: forwarder.requests)
    (connection,) = listener._connections
    sock = connection.transport.get_extra_info("socket")
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    # Probes that fail end the connection by their count only without this.
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
