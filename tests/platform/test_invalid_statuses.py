"""Responses whose status is none that HTTP defines."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.keyspace.order_result import OrderLost
from balsamway.outcome import Completed, MayHaveRun
from balsamway.platform.store_client import StoreClient
from balsamway.platform.target_control import PlatformTargetControl
from balsamway.routing import RouteType
from balsamway.store.call_counts import CallCounts
from balsamway.store.store import Unavailable, WriteUnknown
from balsamway.targets.http_transport import HttpTransport
from balsamway.targets.request import TargetRequest
from tests.fakes.scripted_target import answer, read_answer
from tests.uploads.conftest import connect, host_for

__all__ = ["connect", "host_for"]

INVALID_STATUSES = ["000", "001", "099", "101", "600", "999"]
TIMEOUT_SECONDS = 10.0
MAX_SECONDS = 2.0
"""A response that has come is not waited for."""

pytestmark = pytest.mark.parametrize("status", INVALID_STATUSES)


def respond(status, extra=""):
    """Return a script that gives the status, and whatever a success has."""
    response = answer("r1", b"none", extra=extra or "X-A: b").replace(
        b" 200 ", b" %b " % status.encode(), 1
    )

    async def script(received, writer, number):
        writer.write(response)

    return script


@pytest.fixture
async def in_time():
    async with asyncio.timeout(MAX_SECONDS):
        yield


# Guards against waiting for a response that has come.
@pytest.mark.parametrize("extra", ["", "Balsamway-Not-Executed: 1"])
async def test_the_response_to_a_request_is_lost(
    scripted, send, in_time, status, extra
):
    target = await scripted(respond(status, extra))
    result = await send(target, timeout=TIMEOUT_SECONDS)
    assert isinstance(result.verdict, MayHaveRun)
    assert result.outcome is AttemptOutcome.CONNECTION_LOST
    assert status in result.verdict.detail


async def test_the_connection_is_not_used_again(scripted, send, in_time, status):
    target = await scripted(respond(status))
    for _ in range(2):
        await send(target, timeout=TIMEOUT_SECONDS)
    assert target.connections == 2


async def test_a_valid_response_before_it_counts(scripted, send, in_time, status):
    async def script(received, writer, number):
        writer.write(answer("r1", b"ok"))
        await respond(status)(received, writer, number)

    result = await send(await scripted(script), timeout=TIMEOUT_SECONDS)
    assert isinstance(result.verdict, Completed)
    assert result.verdict.body == b"ok"


# Guards against a status that reaches a caller, or a retry that is missing.
@pytest.mark.parametrize(
    ("route_type", "expected"), [(RouteType.SAFE, 200), (RouteType.UNSAFE, 502)]
)
async def test_no_caller_gets_the_status(
    host_for, connect, in_time, status, route_type, expected
):
    sent = []

    async def script(headers, reader, writer, number):
        sent.append(headers["balsamway-request-id"])
        first = respond(status) if len(sent) == 1 else respond("200")
        await first(None, writer, number)

    host, _ = await host_for(
        script, script, route_type=route_type, timeout_seconds=TIMEOUT_SECONDS
    )
    reader, writer = await connect(host)
    writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\nBalsamway-Request-Id: r1\r\n\r\n")
    assert (await read_answer(reader))[0] == expected
    assert len(sent) == (2 if route_type is RouteType.SAFE else 1)


async def test_the_response_to_an_order_is_lost(scripted, in_time, status):
    pool = ConnectionPool((await scripted(respond(status))).address, 4)
    control = PlatformTargetControl()
    result = await control.grant(
        pool, "i-1", range(8), 1, 3.6, None, TIMEOUT_SECONDS, lambda: True
    )
    assert isinstance(result, OrderLost)
    pool.abort()


async def test_the_response_of_the_store_is_none(scripted, in_time, status):
    store = StoreClient((await scripted(respond(status))).address, CallCounts())
    assert isinstance(await store.read("config", "main"), Unavailable)
    assert isinstance(await store.write("k", "n", b"{}", 1), WriteUnknown)


async def test_the_own_protocol_gives_no_caller_the_status(scripted, in_time, status):
    extra = "Balsamway-Verdict: completed"
    target = await scripted(respond(status, extra))
    transport = HttpTransport(lambda host: 4)
    request = TargetRequest("m", "s", "order", "r1", "", TIMEOUT_SECONDS, b"")

    class Listed:
        address = target.address
        workspace, service = "m", "s"

    verdict = await transport.send(Listed, request)
    assert isinstance(verdict, MayHaveRun)
    assert await transport.health(Listed, TIMEOUT_SECONDS) is None
    await transport.close()
