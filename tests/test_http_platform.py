from __future__ import annotations

import msgspec
import pytest

from balsamway.store import (
    Absent,
    Conflict,
    Host,
    HostRole,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from balsamway.store.call_counts import CallCounts
from balsamway.store.http_host_list import HttpHostList
from balsamway.store.http_store import HttpStore
from tests.fakes.configuration_platform import ConfigurationPlatform

TIMEOUT_SECONDS = 0.2


@pytest.fixture
async def platform():
    platform = ConfigurationPlatform()
    await platform.start()
    yield platform
    await platform.stop()


@pytest.fixture
async def store(platform):
    store = HttpStore(platform.url, "z1", call_timeout_seconds=TIMEOUT_SECONDS)
    yield store
    await store.close()


@pytest.fixture
async def host_list(platform):
    host_list = HttpHostList(platform.url, "z1")
    yield host_list
    await host_list.close()


async def test_requests_follow_the_platform_protocol(platform, store):
    platform.answer(200, b"x", 3)
    assert await store.read("a/b c") == StoredObject("a/b c", 3, b"x")
    platform.answer(200, b"y", 4)
    assert await store.watch("a", 3, 1.5) == StoredObject("a", 4, b"y")
    platform.answer(404)
    assert await store.watch("a", None, 1.5) == Absent("a")
    platform.answer(200, version=5)
    assert await store.write("a", b"z", 4) == Written(5)
    platform.answer(200, version=1)
    assert await store.write("a", b"z", None) == Written(1)
    lines = [line for line, _ in platform.requests]
    assert lines == [
        "GET /objects/a/b%20c",
        "GET /objects/a?watch=3&timeout=1.5",
        "GET /objects/a?watch=0&timeout=1.5",
        "PUT /objects/a",
        "PUT /objects/a",
    ]
    headers = [headers for _, headers in platform.requests]
    assert headers[3]["If-Match"] == "4"
    assert headers[4]["If-None-Match"] == "*"
    assert {sent["Balsamway-Zone"] for sent in headers} == {"z1"}


async def test_conflict_returns_the_current_object(platform, store):
    platform.answer(412, b"x", 3)
    assert await store.write("a", b"z", 2) == Conflict(StoredObject("a", 3, b"x"))
    platform.answer(412)
    assert await store.write("a", b"z", 2) == Conflict(Absent("a"))


@pytest.mark.parametrize("status", [500, 502, 504, 302, 404])
async def test_write_with_unexpected_status_is_unknown(platform, store, status):
    platform.answer(status)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_refused_call_is_unavailable(platform, store):
    platform.answer(503)
    assert isinstance(await store.write("a", b"z", 2), Unavailable)
    platform.answer(503)
    assert isinstance(await store.read("a"), Unavailable)


async def test_call_without_connection_is_unavailable(platform, store):
    await platform.stop()
    assert isinstance(await store.write("a", b"z", 2), Unavailable)
    assert isinstance(await store.read("a"), Unavailable)


async def test_write_without_response_is_unknown(platform, store):
    platform.answers = [None, None]
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)
    assert isinstance(await store.read("a"), Unavailable)


async def test_write_is_not_retried_after_connection_loss(platform, store):
    platform.answer(200, b"x", 3)
    await store.read("a")
    platform.answer(200, version=4)
    await store.write("a", b"z", 3)
    platform.closes = True
    platform.answers = [b"", b"", b""]
    assert isinstance(await store.write("a", b"z", 4), WriteUnknown)
    assert len(platform.requests) == 3


async def test_truncated_response_is_not_used(platform, store):
    platform.closes = True
    platform.answer(200, b"abc", 3, length=10)
    assert isinstance(await store.read("a"), Unavailable)
    platform.answer(412, b"abc", 3, length=10)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_response_without_version_is_not_used(platform, store):
    platform.answer(200, b"abc")
    assert isinstance(await store.read("a"), Unavailable)
    platform.answer(200)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_host_list_is_decoded(platform, host_list):
    hosts = (Host("a", HostRole.ENTRY, "z1", "127.0.0.1:1"),)
    platform.answer(200, msgspec.json.encode(hosts))
    assert await host_list.hosts() == hosts


@pytest.mark.parametrize(
    ("status", "body"), [(503, b""), (200, b"{"), (200, b"[{}]"), (200, b"\xff")]
)
async def test_unreadable_host_list_is_unavailable(platform, host_list, status, body):
    platform.answer(status, body)
    assert isinstance(await host_list.hosts(), Unavailable)


async def test_calls_are_counted(platform):
    counts = CallCounts()
    store = HttpStore(platform.url, counts=counts)
    platform.answer(200, b"x", 3)
    await store.read("a")
    platform.answer(503)
    await store.write("a", b"z", 3)
    await store.close()
    assert counts.totals == {"read": 1, "write": 1}
