from __future__ import annotations

import asyncio
import socket

import pytest

from balsamway.entry import EntryListener
from balsamway.entry.caller_connection import LINGER_SECONDS
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.platform.caller_codec import PlatformCallerCodec
from balsamway.routing import CallerLimits
from tests.fakes.scripted_target import read_answer


class Gateway:
    """Answers requests as a test says, and notes them."""

    def __init__(self):
        self.requests = []
        self.cancelled = []
        self.gates = {}

    async def forward(self, request):
        self.requests.append(request)
        gate = self.gates.get(request.request_id)
        try:
            if gate is not None:
                found = await gate
                if found is not None:
                    return found
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        headers = {"Balsamway-Request-Id": request.request_id, "X": "own"}
        return Completed(200, headers, request.body or request.request_id.encode())

    def hold(self, request_id):
        self.gates[request_id] = asyncio.get_running_loop().create_future()
        return self.gates[request_id]


@pytest.fixture
def gateway():
    return Gateway()


@pytest.fixture
async def listener(gateway):
    listener = EntryListener("127.0.0.1:0", PlatformCallerCodec(), gateway.forward)
    await listener.start()
    yield listener
    await listener.stop()


@pytest.fixture
async def connect(listener):
    writers = []

    async def connect():
        ip, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writers.append(writer)
        return reader, writer

    yield connect
    for writer in writers:
        writer.close()


def get(request_id, extra=""):
    return (
        f"GET /a/b?c=%20d HTTP/1.1\r\nHost: h.example\r\n{extra}"
        f"Balsamway-Request-Id: {request_id}\r\n\r\n"
    ).encode()


def post(request_id, body, extra=""):
    return (
        f"POST /a/ HTTP/1.1\r\nHost: h.example\r\n{extra}"
        f"Balsamway-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def test_a_request_is_read_and_answered(connect, gateway):
    reader, writer = await connect()
    extra = "Balsamway-Request-Deadline: 1200\r\nBalsamway-Shard-Key: 77\r\nX-A: b\r\n"
    extra += "Connection: X-Hop\r\nX-Hop: 1\r\nBalsamway-Target-Instance: forged\r\n"
    writer.write(post("r1", b"body", extra))
    status, headers, body = await read_answer(reader)
    assert (status, body) == (200, b"body")
    assert headers["x"] == "own"
    request = gateway.requests[0]
    assert (request.method, request.path, request.host) == ("POST", "/a/", "h.example")
    assert (request.caller_timeout_seconds, request.key) == (1.2, 77)
    names = [name.lower() for name, _ in request.headers]
    assert b"x-a" in names
    assert not {b"x-hop", b"connection", b"balsamway-target-instance"} & set(names)
    assert b"balsamway-request-deadline" not in names


async def test_pipelined_requests_run_together_and_are_answered_in_order(
    connect, gateway
):
    gate = gateway.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1") + get("r2") + get("r3"))
    while len(gateway.requests) < 3:
        await asyncio.sleep(0.005)
    gate.set_result(None)
    for number in (1, 2, 3):
        _, _, body = await read_answer(reader)
        assert body == f"r{number}".encode()


async def test_a_body_in_chunks_is_read_whole(connect, gateway):
    reader, writer = await connect()
    writer.write(
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nBalsamway-Request-Id: r\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    await asyncio.sleep(0.02)
    assert not gateway.requests
    writer.write(b"2\r\nde\r\n0\r\n\r\n")
    assert (await read_answer(reader))[2] == b"abcde"
    assert gateway.requests[0].body == b"abcde"


async def test_a_caller_that_leaves_cancels_its_request(connect, gateway):
    gateway.hold("r1")
    _, writer = await connect()
    writer.write(get("r1"))
    while not gateway.requests:
        await asyncio.sleep(0.005)
    writer.close()
    while not gateway.cancelled:
        await asyncio.sleep(0.005)
    assert gateway.cancelled == ["r1"]


async def test_a_caller_that_leaves_in_its_body_leaves_no_request(connect, gateway):
    _, writer = await connect()
    writer.write(post("r1", b"whole")[:-2])
    await asyncio.sleep(0.02)
    writer.close()
    await asyncio.sleep(0.05)
    assert not gateway.requests


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (NotRun(Reason.NO_ROUTE), 404),
        (NotRun(Reason.NO_CONFIGURATION, "", 0.25), 503),
        (NotRun(Reason.OVERLOADED, "", 0.25), 503),
        (NotRun(Reason.CONNECT_FAILED, "", 0.25), 503),
        (MayHaveRun(Reason.CONNECTION_LOST), 502),
        (MayHaveRun(Reason.DEADLINE_EXCEEDED), 504),
    ],
)
async def test_the_status_says_whether_the_request_may_have_run(
    connect, gateway, verdict, status
):
    gateway.hold("r1").set_result(verdict)
    reader, writer = await connect()
    writer.write(get("r1"))
    found, headers, _ = await read_answer(reader)
    assert found == status
    assert headers["balsamway-request-id"] == "r1"
    if status == 503:
        assert float(headers["retry-after"]) == 0.25


async def test_a_request_without_an_id_is_refused(connect, gateway):
    reader, writer = await connect()
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await read_answer(reader))[0] == 400


async def test_what_is_no_http_is_refused_and_the_connection_ended(connect, gateway):
    reader, writer = await connect()
    writer.write(b"hello there\r\n\r\n")
    status, headers, _ = await read_answer(reader)
    assert status == 400
    assert headers["connection"] == "close"
    assert await reader.read() == b""


async def test_a_body_over_the_limit_is_refused(connect, gateway, listener):
    listener.limits = CallerLimits(max_body_bytes=4)
    reader, writer = await connect()
    writer.write(post("r1", b"fives"))
    assert (await read_answer(reader))[0] == 413
    assert not gateway.requests


async def test_a_draining_host_answers_and_closes(connect, gateway, listener):
    gate = gateway.hold("r1")
    reader, writer = await connect()
    idle_reader, idle_writer = await connect()
    idle_writer.write(get("r0"))
    assert "connection" not in (await read_answer(idle_reader))[1]
    writer.write(get("r1"))
    await asyncio.sleep(0.02)
    draining = asyncio.create_task(listener.drain(0.1, 1.0))
    await asyncio.sleep(0.02)
    gate.set_result(None)
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (200, "close")
    assert await reader.read() == b""
    idle_writer.write(get("r2"))
    assert (await read_answer(idle_reader))[0] == 200
    await draining


async def test_a_request_that_crosses_the_close_spoils_no_answer(gateway, listener):
    """A socket that is closed while bytes come in drops what is not sent."""
    listener.is_draining = True
    gate = gateway.hold("r1")
    loop = asyncio.get_running_loop()
    ip, port = listener.address.split(":")
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        await loop.sock_connect(caller, (ip, int(port)))
        await loop.sock_sendall(caller, get("r1"))
        while not gateway.requests:
            await asyncio.sleep(0.005)
        body = b"x" * 60_000
        gate.set_result(Completed(200, {"Balsamway-Request-Id": "r1"}, body))
        await asyncio.sleep(0.02)
        await loop.sock_sendall(caller, get("r2"))
        await asyncio.sleep(0.02)
        found = b""
        while part := await loop.sock_recv(caller, 4096):
            found += part
    assert found.endswith(b"\r\n\r\n" + body)
    assert len(gateway.requests) == 1


async def test_a_half_closed_connection_is_not_written_to(connect, listener):
    await connect()
    while not listener._connections:
        await asyncio.sleep(0.005)
    (connection,) = listener._connections
    connection.refuse_slow_head()
    connection.refuse_slow_head()


async def test_a_closed_connection_does_not_stay(connect, listener):
    listener.is_draining = True
    reader, writer = await connect()
    writer.write(get("r1") + get("r2"))
    await reader.read()
    async with asyncio.timeout(LINGER_SECONDS + 1.0):
        while listener.dump()["connections"]:
            await asyncio.sleep(0.01)


async def test_a_request_late_in_a_drain_is_refused_as_not_run(
    connect, gateway, listener
):
    gate = gateway.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1"))
    await asyncio.sleep(0.02)
    draining = asyncio.create_task(listener.drain(0.05, 1.0))
    await asyncio.sleep(0.1)
    writer.write(get("r2"))
    await asyncio.sleep(0.02)
    gate.set_result(None)
    assert (await read_answer(reader))[0] == 200
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (503, "close")
    assert [one.request_id for one in gateway.requests] == ["r1"]
    await draining


async def test_an_idle_connection_is_closed_after_its_time(connect, gateway, listener):
    listener.limits = CallerLimits(idle_timeout_seconds=0.1)
    reader, _ = await connect()
    assert await asyncio.wait_for(reader.read(), 2) == b""


async def test_a_head_that_does_not_arrive_ends_the_connection(
    connect, gateway, listener
):
    listener.limits = CallerLimits(header_timeout_seconds=0.1)
    reader, writer = await connect()
    writer.write(b"GET / HTTP/1.1\r\nHos")
    assert (await asyncio.wait_for(read_answer(reader), 2))[0] == 400
    assert await reader.read() == b""


async def test_a_request_that_fails_inside_may_have_run(connect, gateway):
    gateway.hold("r1").set_exception(RuntimeError("bug"))
    reader, writer = await connect()
    writer.write(get("r1"))
    assert (await read_answer(reader))[0] == 502


async def test_a_body_that_follows_the_head_of_a_last_request_is_read(connect, gateway):
    reader, writer = await connect()
    whole = post("r1", b"body", "Connection: close\r\n")
    writer.write(whole[:-4])
    await asyncio.sleep(0.02)
    writer.write(whole[-4:])
    status, headers, body = await asyncio.wait_for(read_answer(reader), 1)
    assert (status, headers["connection"], body) == (200, "close", b"body")
