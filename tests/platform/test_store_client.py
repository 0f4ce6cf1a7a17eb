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


def encode_response(status, document):
    body = json.dumps(document).encode()
    return (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % (status, len(body))
    ) + body


@pytest.fixture
async def start_store(scripted):
    """Return a function that starts a store with scripted responses.

    The last response is given to all later requests as well. "reset" resets
    the connection, and "silent" leaves a request without a response.
    """

    async def start_store(*responses):
        remaining = list(responses)

        async def script(received, writer, number):
            next_response = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            if next_response == "reset":
                reset(writer)
            elif next_response == "silent":
                await asyncio.sleep(5)
            else:
                writer.write(next_response)

        server = await scripted(script)
        return server, StoreClient(server.address, CallCounts())

    return start_store


async def test_list_is_read_page_by_page(start_store):
    server, store = await start_store(
        encode_response(
            200, {"items": [item("a", 3), item("b", 4)], "hasMore": True, "asOf": 9}
        ),
        encode_response(200, {"items": [item("c", 5)], "hasMore": False, "asOf": 10}),
    )
    snapshot = await store.list("servers")
    assert isinstance(snapshot, Listing)
    assert [stored_object.name for stored_object in snapshot.objects] == ["a", "b", "c"]
    assert snapshot.revision == 9, "a watch must return changes between the pages"
    assert snapshot.objects[0] == StoredObject("a", 3, b'{"of": "a"}')
    assert [request.path for request in server.received] == [
        "/objects/servers",
        "/objects/servers?after=b",
    ]


async def test_watch_returns_written_and_removed_objects(start_store):
    server, store = await start_store(
        encode_response(
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
    changes = await store.watch("servers", 7, 2.0)
    assert changes == Changes((StoredObject("a", 8, b'{"of": "a"}'),), ("b",), 9)
    assert server.received[0].path == "/objects/servers?watch=7&waitMs=2000"


async def test_last_of_several_events_of_an_object_counts(start_store):
    _, store = await start_store(
        encode_response(
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
    changes = await store.watch("servers", 7, 2.0)
    assert changes == Changes((StoredObject("a", 11, b'{"of": "a"}'),), ("b",), 11)


async def test_watch_reports_that_the_history_is_gone(start_store):
    _, store = await start_store(encode_response(410, {}))
    assert await store.watch("servers", 7, 2.0) == HistoryGone()


async def test_stale_read_uses_the_cheaper_query(start_store):
    server, store = await start_store(encode_response(200, item("main", 4)))
    result = await store.read("config", "main", allow_stale=True)
    assert isinstance(result, StoredObject)
    await store.read("config", "main")
    assert [request.path for request in server.received] == [
        "/objects/config/main?serializable=1",
        "/objects/config/main",
    ]


async def test_missing_object_is_absent(start_store):
    _, store = await start_store(encode_response(404, {}))
    assert await store.read("config", "main") == Absent("/objects/config/main")


@pytest.mark.parametrize("status", [429, 503, 500])
async def test_refused_calls_report_the_store_as_unavailable(start_store, status):
    _, store = await start_store(encode_response(status, {}))
    for result in (
        await store.read("k", "n"),
        await store.list("k"),
        await store.watch("k", 1, 0.1),
    ):
        assert isinstance(result, Unavailable)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items":3,"asOf":1}', b"\xff"])
async def test_undecodable_response_reports_the_store_as_unavailable(start_store, body):
    head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
    _, store = await start_store(head + body)
    assert isinstance(await store.list("k"), Unavailable)


async def test_update_sends_the_expected_revision(start_store):
    server, store = await start_store(encode_response(200, item("leader", 5)))
    assert await store.write("locks", "leader", b'{"x":1}', 4) == Written(5)
    (received,) = server.received
    assert (received.method, received.path) == ("PUT", "/objects/locks/leader")
    assert json.loads(received.body) == {
        "metadata": {"name": "leader", "revision": 4},
        "spec": {"x": 1},
    }


async def test_write_without_expected_version_creates_the_object(start_store):
    server, store = await start_store(encode_response(201, item("leader", 5)))
    assert await store.write("locks", "leader", b"{}", None) == Written(5)
    (received,) = server.received
    assert (received.method, received.path) == ("POST", "/objects/locks")


async def test_conflict_contains_the_current_object(start_store):
    _, store = await start_store(encode_response(409, item("leader", 6, {"by": "b"})))
    result = await store.write("locks", "leader", b"{}", 4)
    assert result == Conflict(StoredObject("leader", 6, b'{"by": "b"}'))


async def test_update_of_a_removed_object_conflicts(start_store):
    _, store = await start_store(encode_response(404, {}))
    assert await store.write("locks", "n", b"{}", 4) == Conflict(Absent("n"))


@pytest.mark.parametrize("status", [429, 503])
async def test_refused_update_did_not_take_effect(start_store, status):
    _, store = await start_store(encode_response(status, {}))
    assert isinstance(await store.write("k", "n", b"{}", 4), Unavailable)


@pytest.mark.parametrize("scripted_failure", ["reset", "silent"])
async def test_update_without_a_response_is_unknown_and_not_sent_again(
    start_store, scripted_failure
):
    server, store = await start_store(scripted_failure)
    assert isinstance(await store.write("k", "n", b"{}", 4), WriteUnknown)
    assert len(server.received) == 1


async def test_idle_connection_that_closed_is_replaced(start_store):
    _, store = await start_store(
        encode_response(200, item("a", 1)), "reset", encode_response(200, item("a", 2))
    )
    await store.read("k", "a")
    assert isinstance(await store.read("k", "a"), Unavailable)
    assert (await store.read("k", "a")).version == 2


@pytest.mark.parametrize("value", [b"-1", b"2.5", b"x", b"", b"9" * 5_000, b"9999999"])
async def test_an_unreadable_era_leaves_the_last_one(start_store, value):
    body = json.dumps(item("a", 7)).encode()
    _, store = await start_store(
        b"HTTP/1.1 200 X\r\nStore-Era: 3\r\nContent-Length: %d\r\n\r\n%b"
        % (len(body), body),
        b"HTTP/1.1 200 X\r\nStore-Era: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (value, len(body), body),
    )
    for _ in range(2):
        assert isinstance(await store.read("k", "a"), StoredObject)
        assert store.era == 3


def encode_in_era(era, document):
    body = json.dumps(document).encode()
    return (
        b"HTTP/1.1 200 X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
        % (era, len(body))
    ) + body


async def test_a_list_of_a_restored_store_is_later_than_all_before(start_store):
    _, store = await start_store(
        encode_in_era(1, {"items": [item("a", 90)], "asOf": 99}),
        encode_in_era(2, {"items": [item("a", 20)], "asOf": 30}),
    )
    before, after = await store.list("k"), await store.list("k")
    assert after.revision > before.revision
    assert after.objects[0].version > before.objects[0].version


async def test_pages_of_different_eras_are_no_list(start_store):
    _, store = await start_store(
        encode_in_era(1, {"items": [item("a", 9)], "asOf": 9, "hasMore": True}),
        encode_in_era(2, {"items": [item("b", 9)], "asOf": 9}),
    )
    assert isinstance(await store.list("k"), Unavailable)


async def test_a_watch_does_not_continue_in_a_later_era(start_store):
    server, store = await start_store(
        encode_in_era(1, {"items": [], "asOf": 30}),
        encode_in_era(2, {"events": [], "asOf": 40}),
    )
    listing = await store.list("k")
    # The restored store has reached the watched revision once more.
    assert await store.watch("k", listing.revision, 0.1) == HistoryGone()
    assert await store.watch("k", listing.revision, 0.1) == HistoryGone()
    assert len(server.received) == 2, "the era was known to be over"


async def test_a_watch_names_the_revision_without_its_era(start_store):
    server, store = await start_store(
        encode_in_era(3, {"items": [], "asOf": 30}),
        encode_in_era(3, {"events": [], "asOf": 40}),
    )
    listing = await store.list("k")
    changes = await store.watch("k", listing.revision, 0.1)
    assert changes.revision - listing.revision == 10
    assert "watch=30&" in server.received[-1].path


async def test_an_update_of_a_version_of_an_earlier_era_is_not_sent(start_store):
    server, store = await start_store(
        encode_in_era(1, item("a", 7)),
        encode_in_era(2, item("b", 7)),
        encode_in_era(2, item("a", 7)),
    )
    found = await store.read("k", "a")
    await store.read("k", "b")
    result = await store.write("k", "a", b"{}", found.version)
    assert result.current.version > found.version
    assert all(request.method == "GET" for request in server.received)


async def test_a_response_of_an_earlier_era_is_not_used(start_store):
    _, store = await start_store(
        encode_in_era(2, {"items": [], "asOf": 30}),
        encode_in_era(1, {"items": [item("a", 90)], "asOf": 99}),
    )
    await store.list("k")
    assert isinstance(await store.list("k"), Unavailable)
