from __future__ import annotations

import asyncio

import pytest

from balsamway.discovery import TargetEntry
from balsamway.entry import EntryRequest
from balsamway.exchange import ConnectionPool
from balsamway.platform.target_transport import PlatformTargetTransport
from tests.fakes.scripted_target import ScriptedTarget


@pytest.fixture
async def scripted():
    """Return a function that starts scripted targets, stopped at the end."""
    targets = []

    async def start(script):
        target = await ScriptedTarget(script).start()
        targets.append(target)
        return target

    yield start
    for target in targets:
        await target.stop()


def entry(address, name="i-1"):
    return TargetEntry(name, 1, "s", address, "z", 3, False, 0.0)


def entry_request(method="GET", request_id="r1", body=b"", key=None, path="/a/b"):
    now = asyncio.get_running_loop().time()
    headers = (
        (b"Host", b"h.example"),
        (b"Balsamway-Request-Id", request_id.encode()),
    )
    return EntryRequest(
        request_id, method, "h.example", path, headers, body, now, 1.0, key
    )


@pytest.fixture
def send():
    """Return a function that sends attempts, with one pool per target."""
    transport = PlatformTargetTransport()
    pools = {}

    async def send(target, request=None, timeout=0.5, name="i-1"):
        pool = pools.setdefault(target.address, ConnectionPool(target.address, 4))
        return await transport.send(
            pool,
            entry(target.address, name),
            request or entry_request(),
            timeout,
        )

    yield send
    for pool in pools.values():
        pool.abort()
