from __future__ import annotations

import asyncio
import json

import pytest

from balsamway.platform.store_client import StoreClient
from balsamway.store.call_counts import CallCounts
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from tests.fakes.scripted_target import reset


def item(name, revision, spec=None):
    metadata = {"name": name, "revision": revision, "created": 1, "finalizers": []}
    return {"metadata": metadata, "spec": spec or {"of": name}, "status": None}


def reply(status, document):
    body = json.dumps(document).encode()
    return (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % (status, len(body))
    ) + body


@pytest.fixture
async def speak(scripted):
    """Starts a store that gives one reply after another."""

    async def speak(*replies):
        left = list(replies)

        async def script(received, writer, number):
            found = left.pop(0) if len(left) > 1 else left[0]
            if found == "reset":
                reset(writer)
            elif found == "silent":
                await asyncio.sleep(5)
            else:
                writer.write(found)

        server = await scripted(script)
        return server, StoreClient(server.address, CallCounts())

    return speak


async def test_a_list_is_read_page_by_page(speak):
    server, store = await speak(
        reply(200, {"items": [item("a", 3), item("b", 4)], "hasMore": True, "asOf": 9}),
        reply(200, {"items": [item("c", 5)], "hasMore": False, "asOf": 10}),
    )
    found = await store.list("servers")
    assert isinstance(found, Listing)
    assert [one.name for one in found.objects] == ["a", "b", "c"]
    assert found.revision == 9, "changes between the pages are still to be watched"
    assert found.objects[0] == StoredObject("a", 3, b'{"of": "a"}')
    assert [one.path for one in server.received] == [
        "/objects/servers",
        "/objects/servers?after=b",
    ]


async def test_a_watch_tells_what_changed_and_what_was_removed(speak):
    server, store = await speak(
        reply(
            200,
            {
                "events": [
                    {"removed": False, "object": item("a", 8)},
                    {"removed": True, "object": item("b", 4)},
                ],
                "asOf": 9,
            },
        )
    )
    found = await store.watch("servers", 7, 2.0)
    assert found == Changes((StoredObject("a", 8, b'{"of": "a"}'),), ("b",), 9)
    assert server.received[0].path == "/objects/servers?watch=7&waitMs=2000"


async def test_the_last_of_several_events_of_an_object_counts(speak):
    _, store = await speak(
        reply(
            200,
            {
                "events": [
                    {"removed": False, "object": item("a", 8)},
                    {"removed": False, "object": item("b", 9)},
                    {"removed": True, "object": item("b", 9)},
                    {"removed": True, "object": item("a", 8)},
                    {"removed": False, "object": item("a", 11)},
                ],
                "asOf": 11,
            },
        )
    )
    found = await store.watch("servers", 7, 2.0)
    assert found == Changes((StoredObject("a", 11, b'{"of": "a"}'),), ("b",), 11)


async def test_a_history_that_is_gone_is_told(speak):
    _, store = await speak(reply(410, {}))
    assert await store.watch("servers", 7, 2.0) == HistoryGone()


async def test_an_old_copy_is_asked_for_by_its_price(speak):
    server, store = await speak(reply(200, item("main", 4)))
    found = await store.read("config", "main", allow_stale=True)
    assert isinstance(found, StoredObject)
    await store.read("config", "main")
    assert [one.path for one in server.received] == [
        "/objects/config/main?serializable=1",
        "/objects/config/main",
    ]


async def test_what_does_not_exist_is_absent(speak):
    _, store = await speak(reply(404, {}))
    assert await store.read("config", "main") == Absent("/objects/config/main")


@pytest.mark.parametrize("status", [429, 503, 500])
async def test_a_store_that_refuses_is_not_available(speak, status):
    _, store = await speak(reply(status, {}))
    for found in (
        await store.read("k", "n"),
        await store.list("k"),
        await store.watch("k", 1, 0.1),
    ):
        assert isinstance(found, Unavailable)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items":3,"asOf":1}', b"\xff"])
async def test_an_answer_that_cannot_be_read_is_none(speak, body):
    head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
    _, store = await speak(head + body)
    assert isinstance(await store.list("k"), Unavailable)


async def test_an_update_carries_its_condition(speak):
    server, store = await speak(reply(200, item("leader", 5)))
    assert await store.write("locks", "leader", b'{"x":1}', 4) == Written(5)
    (received,) = server.received
    assert (received.method, received.path) == ("PUT", "/objects/locks/leader")
    assert json.loads(received.body) == {
        "metadata": {"name": "leader", "revision": 4},
        "spec": {"x": 1},
    }


async def test_a_new_object_is_created(speak):
    server, store = await speak(reply(201, item("leader", 5)))
    assert await store.write("locks", "leader", b"{}", None) == Written(5)
    (received,) = server.received
    assert (received.method, received.path) == ("POST", "/objects/locks")


async def test_a_conflict_gives_the_object_as_it_is(speak):
    _, store = await speak(reply(409, item("leader", 6, {"by": "b"})))
    found = await store.write("locks", "leader", b"{}", 4)
    assert found == Conflict(StoredObject("leader", 6, b'{"by": "b"}'))


async def test_a_removed_object_conflicts(speak):
    _, store = await speak(reply(404, {}))
    assert await store.write("locks", "n", b"{}", 4) == Conflict(Absent("n"))


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_update_was_not_done(speak, status):
    _, store = await speak(reply(status, {}))
    assert isinstance(await store.write("k", "n", b"{}", 4), Unavailable)


@pytest.mark.parametrize("fate", ["reset", "silent"])
async def test_an_update_without_an_answer_is_unknown_and_not_sent_again(speak, fate):
    server, store = await speak(fate)
    assert isinstance(await store.write("k", "n", b"{}", 4), WriteUnknown)
    assert len(server.received) == 1


async def test_a_kept_connection_that_closed_is_replaced(speak):
    _, store = await speak(reply(200, item("a", 1)), "reset", reply(200, item("a", 2)))
    await store.read("k", "a")
    assert isinstance(await store.read("k", "a"), Unavailable)
    assert (await store.read("k", "a")).version == 2
