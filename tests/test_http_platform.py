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


async def test_calls_are_as_the_protocol_says(platform, store):
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
    assert {found["Balsamway-Zone"] for found in headers} == {"z1"}


async def test_a_conflict_gives_what_is_there(platform, store):
    platform.answer(412, b"x", 3)
    assert await store.write("a", b"z", 2) == Conflict(StoredObject("a", 3, b"x"))
    platform.answer(412)
    assert await store.write("a", b"z", 2) == Conflict(Absent("a"))


@pytest.mark.parametrize("status", [500, 502, 504, 302, 404])
async def test_a_write_with_an_odd_status_is_unknown(platform, store, status):
    platform.answer(status)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_a_refused_call_was_not_carried_out(platform, store):
    platform.answer(503)
    assert isinstance(await store.write("a", b"z", 2), Unavailable)
    platform.answer(503)
    assert isinstance(await store.read("a"), Unavailable)


async def test_without_a_connection_nothing_was_carried_out(platform, store):
    await platform.stop()
    assert isinstance(await store.write("a", b"z", 2), Unavailable)
    assert isinstance(await store.read("a"), Unavailable)


async def test_a_call_without_an_answer_is_unknown_to_a_writer(platform, store):
    platform.answers = [None, None]
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)
    assert isinstance(await store.read("a"), Unavailable)


async def test_a_write_is_sent_once_when_its_connection_is_lost(platform, store):
    platform.answer(200, b"x", 3)
    await store.read("a")
    platform.answer(200, version=4)
    await store.write("a", b"z", 3)
    platform.closes = True
    platform.answers = [b"", b"", b""]
    assert isinstance(await store.write("a", b"z", 4), WriteUnknown)
    assert len(platform.requests) == 3


async def test_an_answer_cut_short_is_none(platform, store):
    platform.closes = True
    platform.answer(200, b"abc", 3, length=10)
    assert isinstance(await store.read("a"), Unavailable)
    platform.answer(412, b"abc", 3, length=10)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_an_answer_without_a_version_is_none(platform, store):
    platform.answer(200, b"abc")
    assert isinstance(await store.read("a"), Unavailable)
    platform.answer(200)
    assert isinstance(await store.write("a", b"z", 2), WriteUnknown)


async def test_hosts_are_listed(platform, host_list):
    hosts = (Host("a", HostRole.ENTRY, "z1", "127.0.0.1:1"),)
    platform.answer(200, msgspec.json.encode(hosts))
    assert await host_list.hosts() == hosts


@pytest.mark.parametrize(
    ("status", "body"), [(503, b""), (200, b"{"), (200, b"[{}]"), (200, b"\xff")]
)
async def test_a_list_that_cannot_be_read_is_none(platform, host_list, status, body):
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
