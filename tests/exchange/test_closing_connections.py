"""Connections that their transport has ended a turn before it says so."""

from __future__ import annotations

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from balsamway.exchange import ConnectionPool, HttpRequest, HttpResponse, NotSent
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.keyspace.control_connections import ControlConnections
from balsamway.platform.target_transport import PlatformTargetTransport
from balsamway.store.call_counts import CallCounts
from balsamway.store.store_connections import StoreConnections
from tests.fakes.scripted_target import answer
from tests.platform.conftest import entry, entry_request, scripted

__all__ = ["scripted"]

REQUEST = HttpRequest("GET", "/objects/x", ((b"Host", b"store"),))
MAX_RELEASES = 100
TIMEOUT_SECONDS = 5.0


class CountedPool(ConnectionPool):
    """Fails a call that takes connections without end."""

    def __init__(self, address):
        super().__init__(address, 8)
        self._releases = 0

    def release(self, connection):
        self._releases += 1
        assert self._releases <= MAX_RELEASES, "the call takes connections without end"
        super().release(connection)


async def respond(received, writer, number):
    writer.write(answer(received.headers.get("balsamway-request-id", "r1")))


@pytest.fixture
async def target(scripted):
    return await scripted(respond)


async def fill(pool, count):
    """Leave a number of idle connections in the pool, and return them."""
    connections = [await pool.acquire() for _ in range(count)]
    for connection in connections:
        assert isinstance(await connection.exchange(REQUEST), HttpResponse)
    for connection in connections:
        pool.release(connection)
    return connections


def end_transports(connections):
    """End connections like a reset that the event loop has just noticed."""
    for connection in connections:
        connection.transport.abort()
        assert connection.transport.is_closing()


# Guards against an event loop that stands still after resets by the store.
async def test_a_call_ends_when_all_idle_connections_are_closing(target):
    store = StoreConnections(
        target.address, "Store-Era", CallCounts(CollectorRegistry())
    )
    store._pool = CountedPool(target.address)
    end_transports(await fill(store._pool, 3))
    response = await store.call(REQUEST, TIMEOUT_SECONDS)
    assert isinstance(response, HttpResponse)
    assert response.status == 200


# Guards against a call that never ends, whatever the pool hands out.
async def test_a_call_ends_when_no_connection_sends_it(target, monkeypatch):
    store = StoreConnections(
        target.address, "Store-Era", CallCounts(CollectorRegistry())
    )
    store._pool = CountedPool(target.address)
    (connection,) = await fill(store._pool, 1)

    async def exchange(request):
        return NotSent("closed")

    monkeypatch.setattr(connection, "exchange", exchange)
    assert isinstance(await store.call(REQUEST, TIMEOUT_SECONDS), NotSent)


async def test_a_closing_connection_is_not_handed_out(target):
    pool = ConnectionPool(target.address, 4)
    idle = await fill(pool, 2)
    end_transports(idle[1:])
    assert await pool.acquire() is idle[0]


# Guards against a refusal of a request for connections that ended before it.
async def test_a_request_is_served_beside_connections_that_are_closing(target):
    pool = ConnectionPool(target.address, 8)
    end_transports(await fill(pool, 6))
    result = await PlatformTargetTransport().send(
        pool, entry(target.address), entry_request(), 0.5
    )
    assert result.outcome is AttemptOutcome.SERVED


# Guards against an end of a target that the leader does not notice.
async def test_a_closing_connection_counts_as_lost(target):
    connections = ControlConnections(target.address)
    idle = await fill(connections.pool, 2)
    assert not connections.has_lost_connection()
    end_transports(idle[:1])
    assert connections.has_lost_connection()
    await asyncio.sleep(0)
    assert not connections.has_lost_connection()
    connections.pool.close()
    assert not connections.has_lost_connection()
