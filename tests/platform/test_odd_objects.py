"""One odd object in a response of the store leaves the others usable."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from balsamway.discovery import TargetDirectory
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.platform.store_client import StoreClient
from balsamway.platform.target_decoder import decode_target
from balsamway.store.call_counts import CallCounts
from balsamway.store.kind_watch import KindWatch
from balsamway.store.object_store import Changes, Listing
from balsamway.store.store import Conflict, StoredObject

NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_SPECS = {
    "nested": NESTED,
    "nested in an object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested among strings": b'["]]}}\\"[",' * 50_000 + b"1" + b"]" * 50_000,
    "number not in JSON": b'{"capacity":Infinity,"born":NaN}',
    "lone surrogate": b'{"zone":"\\ud800","capacity":3}',
    "bare word": b"NaN",
}
MAX_LOOP_PAUSE_SECONDS = 0.1
"""The longest time for which a response may keep the event loop from other
work; a machine under load included."""


def entry(port):
    return json.dumps(
        {
            "service": "s",
            "address": f"10.0.0.1:{port}",
            "zone": "z",
            "capacity": 3,
            "state": "ready",
            "sequence": 1,
        }
    ).encode()


def item(name, revision, spec):
    return b'{"metadata":{"name":"%s","revision":%s},"spec":%s,"status":null}' % (
        name.encode(),
        str(revision).encode(),
        spec,
    )


def page(*items, revision=9, has_more=False):
    return b'{"items":[%s],"hasMore":%s,"asOf":%d}' % (
        b",".join(items),
        b"true" if has_more else b"false",
        revision,
    )


def event(item, removed=False):
    return b'{"removed":%s,"object":%s}' % (b"true" if removed else b"false", item)


def watch_page(*events, revision):
    return b'{"events":[%s],"asOf":%d}' % (b",".join(events), revision)


def response(body, status=200):
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    return head + body


@pytest.fixture
async def store_of(scripted):
    """Return a function that starts a store that sends the given bodies.

    Requests beyond the last body are left without a response.
    """

    async def store_of(*bodies, status=200):
        remaining = list(bodies)

        async def script(received, writer, number):
            if not remaining:
                await asyncio.sleep(5)
                return
            writer.write(response(remaining.pop(0), status))

        server = await scripted(script)
        return StoreClient(server.address, CallCounts())

    return store_of


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_a_list_with_a_nested_or_unreadable_object_names_the_others(
    store_of, spec
):
    store = await store_of(
        page(item("a", 3, b"1"), item("b", 4, spec), item("c", 5, b"2"))
    )
    assert await store.list("servers") == Listing(
        (
            StoredObject("a", 3, b"1"),
            StoredObject("b", 4, b""),
            StoredObject("c", 5, b"2"),
        ),
        9,
    )


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_a_watch_with_a_nested_or_unreadable_object_goes_on(store_of, spec):
    store = await store_of(
        watch_page(
            event(item("a", 10, b"1")),
            event(item("b", 11, spec)),
            event(item("c", 8, spec), removed=True),
            revision=12,
        )
    )
    assert await store.watch("servers", 9, 0.1) == Changes(
        (StoredObject("a", 10, b"1"), StoredObject("b", 11, b"")), ("c",), 12
    )


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_a_nested_or_unreadable_object_is_read_with_its_version(store_of, spec):
    store = await store_of(item("keys", 7, spec))
    assert await store.read("leases", "keys") == StoredObject("keys", 7, b"")


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_a_conflict_with_a_nested_or_unreadable_object_names_its_version(
    store_of, spec
):
    store = await store_of(item("keys", 7, spec), status=409)
    result = await store.write("leases", "keys", b"{}", 4)
    assert result == Conflict(StoredObject("keys", 7, b""))


async def test_a_nested_status_leaves_the_object_itself_readable(store_of):
    odd = item("a", 3, b'{"x":1}').replace(b"null", NESTED)
    store = await store_of(page(odd, item("b", 4, b"2")))
    listing = await store.list("servers")
    assert listing.objects == (
        StoredObject("a", 3, b'{"x":1}'),
        StoredObject("b", 4, b"2"),
    )


@pytest.mark.parametrize("revision", [2**63, 2**70, "9" * 5_000, "1e400", -1, 1.5])
async def test_an_object_with_a_revision_out_of_range_names_the_others(
    store_of, revision
):
    store = await store_of(page(item("a", revision, b"1"), item("b", 4, b"2")))
    listing = await store.list("servers")
    assert listing.objects == (StoredObject("a", 0, b""), StoredObject("b", 4, b"2"))


@pytest.mark.parametrize("name", [b'"\\ud800"', b'"\xff"', b"null", b"[]"])
async def test_an_object_without_a_readable_name_names_the_others(store_of, name):
    odd = item("a", 3, b"1").replace(b'"a"', name)
    store = await store_of(
        page(item("b", 4, b"2"), odd, has_more=True), page(item("c", 5, b"3"))
    )
    listing = await store.list("servers")
    assert [found.name for found in listing.objects] == ["b", "", "c"]
    assert listing.objects[1].body == b""


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_a_nested_entry_does_not_end_the_watch_of_targets(store_of, spec):
    store = await store_of(
        page(item("i-1", 3, entry(81)), item("i-2", 4, spec)),
        watch_page(event(item("i-1", 10, spec)), revision=10),
        watch_page(
            event(item("i-2", 11, entry(82))),
            event(item("i-3", 12, entry(83))),
            revision=12,
        ),
        watch_page(event(item("i-1", 13, spec), removed=True), revision=13),
        watch_page(event(item("i-1", 14, entry(84))), revision=14),
    )
    directory = TargetDirectory()
    handler = DirectoryHandler(directory, decode_target)
    watch = KindWatch(store, "servers", handler, 0.1, 0.0, random.Random(1))
    seen = []
    directory.add_listener(
        lambda: seen.append(sorted(entry.name for entry in directory.entries))
    )
    await watch.start()
    try:
        async with asyncio.timeout(3):
            while watch.known_revision < 14:
                await asyncio.sleep(0.01)
    finally:
        await watch.stop()
    assert not watch.crashed
    assert seen[0] == ["i-1"]
    assert seen[1] == []
    assert seen[-1] == ["i-1", "i-2", "i-3"]


@pytest.mark.parametrize(
    "spec",
    [
        b"[" * 3_000_000 + b"]" * 3_000_000,
        b"[0," * 1_200_000 + b"0" + b"]" * 1_200_000,
        b'"' + b"\\\\" * 3_000_000 + b"\\ud800" + b'"',
        b'"' + b'\\"' * 3_000_000,
    ],
    ids=["brackets", "brackets with commas", "escapes", "string without an end"],
)
async def test_a_large_nested_object_does_not_hold_the_event_loop(store_of, spec):
    store = await store_of(page(item("a", 3, spec), item("b", 4, b"2")))
    loop = asyncio.get_running_loop()
    pauses = []

    async def measure():
        while True:
            started_at = loop.time()
            await asyncio.sleep(0)
            pauses.append(loop.time() - started_at)

    meter = asyncio.create_task(measure())
    await store.list("servers")
    meter.cancel()
    assert max(pauses) < MAX_LOOP_PAUSE_SECONDS
