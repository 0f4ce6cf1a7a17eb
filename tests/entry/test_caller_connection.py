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


class FakeForwarder:
    """Records requests, and returns the verdicts that a test sets."""

    def __init__(self):
        self.requests = []
        self.cancelled = []
        self.held_verdicts = {}

    async def forward(self, request):
        self.requests.append(request)
        held_verdict = self.held_verdicts.get(request.request_id)
        try:
            if held_verdict is not None:
                verdict = await held_verdict
                if verdict is not None:
                    return verdict
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        headers = {"Balsamway-Request-Id": request.request_id, "X": "own"}
        return Completed(200, headers, request.body or request.request_id.encode())

    def hold(self, request_id):
        """Hold a request until the returned future gets its verdict."""
        self.held_verdicts[request_id] = asyncio.get_running_loop().create_future()
        return self.held_verdicts[request_id]


@pytest.fixture
def forwarder():
    return FakeForwarder()


@pytest.fixture
async def listener(forwarder):
    listener = EntryListener("127.0.0.1:0", PlatformCallerCodec(), forwarder.forward)
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


async def test_a_request_is_decoded_and_gets_a_response(connect, forwarder):
    reader, writer = await connect()
    extra = "Balsamway-Request-Deadline: 1200\r\nBalsamway-Shard-Key: 77\r\nX-A: b\r\n"
    extra += "Connection: X-Hop\r\nX-Hop: 1\r\nBalsamway-Target-Instance: forged\r\n"
    writer.write(post("r1", b"body", extra))
    status, headers, body = await read_answer(reader)
    assert (status, body) == (200, b"body")
    assert headers["x"] == "own"
    request = forwarder.requests[0]
    assert (request.method, request.path, request.host) == ("POST", "/a/", "h.example")
    assert (request.patience_seconds, request.key) == (1.2, 77)
    names = [name.lower() for name, _ in request.headers]
    assert b"x-a" in names
    assert not {b"x-hop", b"connection", b"balsamway-target-instance"} & set(names)
    assert b"balsamway-request-deadline" not in names


async def test_pipelined_requests_run_concurrently_and_get_responses_in_order(
    connect, forwarder
):
    held_verdict = forwarder.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1") + get("r2") + get("r3"))
    while len(forwarder.requests) < 3:
        await asyncio.sleep(0.005)
    held_verdict.set_result(None)
    for number in (1, 2, 3):
        _, _, body = await read_answer(reader)
        assert body == f"r{number}".encode()


async def test_a_chunked_body_is_read_to_its_end(connect, forwarder):
    reader, writer = await connect()
    writer.write(
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nBalsamway-Request-Id: r\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    await asyncio.sleep(0.02)
    assert not forwarder.requests
    writer.write(b"2\r\nde\r\n0\r\n\r\n")
    assert (await read_answer(reader))[2] == b"abcde"
    assert forwarder.requests[0].body == b"abcde"


async def test_a_caller_that_disconnects_cancels_its_request(connect, forwarder):
    forwarder.hold("r1")
    _, writer = await connect()
    writer.write(get("r1"))
    while not forwarder.requests:
        await asyncio.sleep(0.005)
    writer.close()
    while not forwarder.cancelled:
        await asyncio.sleep(0.005)
    assert forwarder.cancelled == ["r1"]


async def test_a_request_with_an_incomplete_body_is_not_forwarded(connect, forwarder):
    _, writer = await connect()
    writer.write(post("r1", b"whole")[:-2])
    await asyncio.sleep(0.02)
    writer.close()
    await asyncio.sleep(0.05)
    assert not forwarder.requests


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
async def test_the_status_shows_whether_the_request_may_have_run(
    connect, forwarder, verdict, status
):
    forwarder.hold("r1").set_result(verdict)
    reader, writer = await connect()
    writer.write(get("r1"))
    found_status, headers, _ = await read_answer(reader)
    assert found_status == status
    assert headers["balsamway-request-id"] == "r1"
    if status == 503:
        assert float(headers["retry-after"]) == 0.25


async def test_a_request_without_an_id_is_refused(connect, forwarder):
    reader, writer = await connect()
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await read_answer(reader))[0] == 400


async def test_malformed_http_is_refused_and_the_connection_closed(connect, forwarder):
    reader, writer = await connect()
    writer.write(b"hello there\r\n\r\n")
    status, headers, _ = await read_answer(reader)
    assert status == 400
    assert headers["connection"] == "close"
    assert await reader.read() == b""


async def test_a_body_over_the_limit_is_refused(connect, forwarder, listener):
    listener.limits = CallerLimits(body_bytes=4)
    reader, writer = await connect()
    writer.write(post("r1", b"fives"))
    assert (await read_answer(reader))[0] == 413
    assert not forwarder.requests


async def test_a_draining_host_responds_and_closes_the_connection(
    connect, forwarder, listener
):
    held_verdict = forwarder.hold("r1")
    reader, writer = await connect()
    idle_reader, idle_writer = await connect()
    idle_writer.write(get("r0"))
    assert "connection" not in (await read_answer(idle_reader))[1]
    writer.write(get("r1"))
    await asyncio.sleep(0.02)
    draining = asyncio.create_task(listener.drain(0.1, 1.0))
    await asyncio.sleep(0.02)
    held_verdict.set_result(None)
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (200, "close")
    assert await reader.read() == b""
    idle_writer.write(get("r2"))
    assert (await read_answer(idle_reader))[0] == 200
    await draining


async def test_a_request_sent_during_the_close_does_not_truncate_the_response(
    forwarder, listener
):
    """A socket closed while bytes arrive discards what it has not sent yet."""
    listener.is_draining = True
    held_verdict = forwarder.hold("r1")
    loop = asyncio.get_running_loop()
    ip, port = listener.address.split(":")
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        await loop.sock_connect(caller, (ip, int(port)))
        await loop.sock_sendall(caller, get("r1"))
        while not forwarder.requests:
            await asyncio.sleep(0.005)
        body = b"x" * 60_000
        held_verdict.set_result(Completed(200, {"Balsamway-Request-Id": "r1"}, body))
        await asyncio.sleep(0.02)
        await loop.sock_sendall(caller, get("r2"))
        await asyncio.sleep(0.02)
        received = b""
        while chunk := await loop.sock_recv(caller, 4096):
            received += chunk
    assert received.endswith(b"\r\n\r\n" + body)
    assert len(forwarder.requests) == 1


async def test_a_half_closed_connection_is_not_written_to(connect, listener):
    await connect()
    while not listener._connections:
        await asyncio.sleep(0.005)
    (connection,) = listener._connections
    connection.refuse_slow_head()
    connection.refuse_slow_head()


async def test_a_closed_connection_is_removed(connect, listener):
    listener.is_draining = True
    reader, writer = await connect()
    writer.write(get("r1") + get("r2"))
    await reader.read()
    async with asyncio.timeout(LINGER_SECONDS + 1.0):
        while listener.dump()["connections"]:
            await asyncio.sleep(0.01)


async def test_a_request_late_in_a_drain_is_refused_as_not_run(
    connect, forwarder, listener
):
    held_verdict = forwarder.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1"))
    await asyncio.sleep(0.02)
    draining = asyncio.create_task(listener.drain(0.05, 1.0))
    await asyncio.sleep(0.1)
    writer.write(get("r2"))
    await asyncio.sleep(0.02)
    held_verdict.set_result(None)
    assert (await read_answer(reader))[0] == 200
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (503, "close")
    assert [request.request_id for request in forwarder.requests] == ["r1"]
    await draining


async def test_an_idle_connection_is_closed_after_its_timeout(
    connect, forwarder, listener
):
    listener.limits = CallerLimits(idle_seconds=0.1)
    reader, _ = await connect()
    assert await asyncio.wait_for(reader.read(), 2) == b""


async def test_a_head_that_does_not_arrive_closes_the_connection(
    connect, forwarder, listener
):
    listener.limits = CallerLimits(header_seconds=0.1)
    reader, writer = await connect()
    writer.write(b"GET / HTTP/1.1\r\nHos")
    assert (await asyncio.wait_for(read_answer(reader), 2))[0] == 400
    assert await reader.read() == b""


async def test_a_request_that_raises_an_error_may_have_run(connect, forwarder):
    forwarder.hold("r1").set_exception(RuntimeError("bug"))
    reader, writer = await connect()
    writer.write(get("r1"))
    assert (await read_answer(reader))[0] == 502


async def test_a_body_that_follows_the_head_of_the_last_request_is_read(
    connect, forwarder
):
    reader, writer = await connect()
    whole = post("r1", b"body", "Connection: close\r\n")
    writer.write(whole[:-4])
    await asyncio.sleep(0.02)
    writer.write(whole[-4:])
    status, headers, body = await asyncio.wait_for(read_answer(reader), 1)
    assert (status, headers["connection"], body) == (200, "close", b"body")
