"""Guards the bounds of callers, and that each refusal is true."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.entry.connection_limit import caller_connection_limit
from balsamway.exchange import ByteBudget
from balsamway.outcome import Completed
from balsamway.routing import CallerLimits
from tests.entry.test_caller_connection import (
    connect,
    forwarder,
    get,
    listener,
    post,
)
from tests.fakes.scripted_target import read_answer

__all__ = ["connect", "forwarder", "listener"]

END_SECONDS = 5.0


async def answer_of(reader):
    return await asyncio.wait_for(read_answer(reader), END_SECONDS)


async def end_of(reader):
    try:
        return await asyncio.wait_for(reader.read(), END_SECONDS)
    except ConnectionResetError:
        return b""


async def until(condition):
    async with asyncio.timeout(END_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n" * 8_193,
        b"GET / HTTP/1.1\r\nHost: h\r\n" + b"X-A: b\r\n" * 3_000,
        b"\r\n" * 5_000 + b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 7_000,
    ],
    ids=["blank-lines", "lines", "both"],
)
async def test_a_head_over_the_bound_is_refused(connect, forwarder, data):
    reader, writer = await connect()
    writer.write(data)
    status, headers, _ = await answer_of(reader)
    assert (status, headers["connection"]) == (431, "close")
    assert await end_of(reader) == b""
    assert not forwarder.requests


async def test_a_request_before_malformed_bytes_gets_its_response(connect):
    reader, writer = await connect()
    writer.write(get("r1") + b"no request\r\n\r\n")
    assert (await answer_of(reader))[2] == b"r1"
    assert (await answer_of(reader))[0] == 400


async def test_a_body_that_stops_is_refused_as_not_run(connect, forwarder, listener):
    listener.limits = CallerLimits(idle_timeout_seconds=0.2)
    reader, writer = await connect()
    writer.write(post("r1", b"whole")[:-1])
    status, headers, _ = await answer_of(reader)
    assert (status, headers["balsamway-request-id"]) == (408, "r1")
    assert await end_of(reader) == b""
    assert not forwarder.requests


async def test_a_malformed_chunk_ends_its_request(connect, forwarder):
    reader, writer = await connect()
    writer.write(
        b"POST / HTTP/1.1\r\nHost: h\r\nBalsamway-Request-Id: r\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nno length\r\n"
    )
    assert (await answer_of(reader))[0] == 400
    assert not forwarder.requests


async def test_a_slow_head_behind_a_request_is_refused_after_its_response(
    connect, forwarder, listener
):
    listener.limits = CallerLimits(header_timeout_seconds=0.2)
    held_verdict = forwarder.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1") + b"GET / HTTP/1.1\r\nHos")
    await until(lambda: listener.dump()["closed"])
    held_verdict.set_result(None)
    assert (await answer_of(reader))[2] == b"r1"
    assert (await answer_of(reader))[0] == 400
    assert await end_of(reader) == b""


async def test_a_response_that_is_not_read_ends_its_connection(
    connect, forwarder, listener
):
    listener.limits = CallerLimits(idle_timeout_seconds=0.3)
    body = b"x" * 16_000_000
    forwarder.hold("r1").set_result(Completed(200, {}, body))
    _reader, writer = await connect()
    writer.transport.pause_reading()
    writer.write(get("r1"))
    await until(lambda: listener.connection_count == 1)
    await until(lambda: listener.connection_count == 0)
    assert listener.dump()["closed"] == {"unread-response": 1}
    assert listener.budget.held_bytes == 0


async def test_the_body_that_stopped_is_given_up_for_one_that_arrives(
    connect, forwarder, listener
):
    listener.budget = ByteBudget(1_000_000)
    stopped, stopped_writer = await connect()
    stopped_writer.write(post("r1", b"x" * 300_000)[:-1])
    await until(lambda: listener.budget.held_bytes > 500_000)
    await asyncio.sleep(0.5)
    reader, writer = await connect()
    writer.write(post("r2", b"y" * 350_000))
    assert (await answer_of(reader))[0] == 200
    status, headers, _ = await answer_of(stopped)
    assert (status, headers["balsamway-request-id"]) == (503, "r1")
    assert "retry-after" in headers
    assert [request.request_id for request in forwarder.requests] == ["r2"]
    await until(lambda: listener.budget.held_bytes == 0)


async def test_the_longest_unused_connection_gives_way_to_a_new_one(connect, listener):
    listener.max_connections = 3
    first, first_writer = await connect()
    first_writer.write(get("r1"))
    assert (await answer_of(first))[0] == 200
    _second, _ = await connect()
    await asyncio.sleep(0.3)
    third, third_writer = await connect()
    third_writer.write(get("r3"))
    assert (await answer_of(third))[0] == 200
    assert await end_of(first) == b""
    fourth, fourth_writer = await connect()
    fourth_writer.write(get("r4"))
    assert (await answer_of(fourth))[0] == 200
    assert listener.connection_count <= 3


async def test_a_request_in_progress_keeps_its_connection(connect, forwarder, listener):
    listener.max_connections = 1
    held_verdict = forwarder.hold("r1")
    reader, writer = await connect()
    writer.write(get("r1"))
    await until(lambda: forwarder.requests)
    other, other_writer = await connect()
    other_writer.write(get("r2"))
    await asyncio.sleep(0.3)
    assert len(forwarder.requests) == 1
    held_verdict.set_result(None)
    assert (await answer_of(reader))[2] == b"r1"
    assert (await answer_of(other))[2] == b"r2"


async def test_callers_leave_descriptors_to_the_rest_of_the_host():
    assert caller_connection_limit(4_096) == 1_916
    assert caller_connection_limit(1_638) == 687
    assert caller_connection_limit(300) == 18
    assert caller_connection_limit(100) == 16


# Guards against a request that is refused for lack of memory by the task that
# reads its body, and is then sent all the same.
async def test_a_request_refused_with_its_last_piece_is_not_sent(
    connect, forwarder, listener
):
    listener.budget = ByteBudget(180_000)
    reader, writer = await connect()
    request = post("r1", b"x" * 100_000)
    writer.write(request[:-20_000])
    await until(lambda: listener.budget.held_bytes > 100_000)
    writer.write(request[-20_000:])
    status, _, _ = await answer_of(reader)
    assert status == 503
    assert await end_of(reader) == b""
    assert not forwarder.requests


# Guards against a response that nobody asked for, which the caller takes for
# that to its next request.
async def test_an_empty_line_after_a_request_does_not_end_the_connection(
    connect, listener
):
    listener.limits = CallerLimits(header_timeout_seconds=0.1)
    reader, writer = await connect()
    writer.write(get("r1") + b"\r\n")
    assert (await answer_of(reader))[2] == b"r1"
    await asyncio.sleep(1.2)
    writer.write(get("r2"))
    assert (await answer_of(reader))[2] == b"r2"
