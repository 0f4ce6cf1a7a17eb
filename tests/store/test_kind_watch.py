"""A watch of the entries of targets, on a paused clock."""

from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.outcome import Malformed
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import Unavailable
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

MAX_RECOVERY_SECONDS = 3.0
"""The time after an outage within which targets that stopped during the
outage must be removed."""
CALL_TIMEOUT_SECONDS = 0.6
"""The time after which a call fails while the store does not answer."""


class HangingStore(MemoryStore):
    """A store that leaves lists without an answer while it is down."""

    async def list(self, kind):
        if self.down:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return Unavailable("no answer")
        return await super().list(kind)


def decode(name, body):
    if not body:
        return Malformed("empty")
    return TargetEntry(name, 1, "s", body.decode(), "z", 3, False, 0.0)


@pytest.fixture
async def watched():
    """Provide a store, a directory of its targets and their watch."""
    store = HangingStore()
    for name in ("i-1", "i-2"):
        store.put("targets", name, b"10.0.0.1:80")
    directory = TargetDirectory()
    handler = DirectoryHandler(directory, decode)
    watch = KindWatch(store, "targets", handler, 2.0, 0.3, random.Random(1))
    yield store, directory, watch
    await watch.stop()


def available_names(directory):
    return sorted(entry.name for entry in directory.available_targets("s"))


async def test_snapshot_and_changes_are_applied(watched):
    store, directory, watch = watched
    await watch.start()
    await asyncio.sleep(0.1)
    assert available_names(directory) == ["i-1", "i-2"]
    store.put("targets", "i-3", b"10.0.0.3:80")
    store.delete("targets", "i-1")
    await asyncio.sleep(0.4)
    assert available_names(directory) == ["i-2", "i-3"]


async def test_target_whose_entry_becomes_invalid_is_removed(watched):
    store, directory, watch = watched
    await watch.start()
    await asyncio.sleep(0.1)
    store.put("targets", "i-1", b"")
    await asyncio.sleep(0.4)
    assert available_names(directory) == ["i-2"]


async def test_snapshot_is_read_again_when_the_history_is_gone(watched):
    store, directory, watch = watched
    await watch.start()
    await asyncio.sleep(0.1)
    store.delete("targets", "i-1")
    store.history.clear()
    store.forgotten = store.revision
    await asyncio.sleep(3)
    assert available_names(directory) == ["i-2"]


@pytest.mark.parametrize("outage_seconds", [2.0, 4.7, 9.9, 12.3])
async def test_target_that_stopped_in_an_outage_is_removed_in_time(
    watched, outage_seconds
):
    """Guards against requests to a target that stopped during an outage.

    Entries that are missing after an outage are kept for a while, since live
    targets may still renew them. The end of the outage is detected late,
    because the calls of this host hang and back off.
    """
    store, directory, watch = watched
    await watch.start()
    await asyncio.sleep(0.1)
    store.down = True
    store.delete("targets", "i-1")
    await asyncio.sleep(outage_seconds)
    assert available_names(directory) == ["i-1", "i-2"]
    store.down = False
    for _ in range(int(MAX_RECOVERY_SECONDS / 0.1)):
        await asyncio.sleep(0.1)
        directory.remove_expired()
    assert available_names(directory) == ["i-2"]


async def test_copy_of_a_peer_is_used_only_while_the_store_fails(watched):
    store, directory, watch = watched
    await watch.start()
    await asyncio.sleep(0.1)
    peer_objects = tuple(
        stored_object for stored_object in watch.objects if stored_object.name == "i-1"
    )
    watch.replace(peer_objects, store.revision + 5)
    assert available_names(directory) == ["i-1", "i-2"]
    store.down = True
    await asyncio.sleep(3)
    watch.replace(peer_objects, watch.known_revision - 1)
    assert available_names(directory) == ["i-1", "i-2"]
    watch.replace(peer_objects, store.revision + 5)
    assert available_names(directory) == ["i-1"]


async def restore(store, copy, outage_seconds=0.5):
    store.down = True
    await asyncio.sleep(outage_seconds)
    store.restore(copy)
    store.down = False


@pytest.mark.parametrize("outage_seconds", [0.0, 0.5, 2.0])
async def test_a_watch_follows_a_store_whose_revisions_went_back(
    watched, outage_seconds
):
    store, directory, watch = watched
    store.era = 1
    copy = store.copy()
    await watch.start()
    await asyncio.sleep(1)
    for number in range(50):
        store.put("targets", "i-2", b"10.0.0.2:%d" % (100 + number))
    await asyncio.sleep(1)
    await restore(store, copy, outage_seconds)
    store.put("targets", "i-9", b"10.0.0.9:80")
    await asyncio.sleep(2)
    assert "i-9" in available_names(directory)


async def test_a_watch_follows_a_store_that_gave_out_its_revisions_again(watched):
    store, directory, watch = watched
    store.era = 1
    await watch.start()
    await asyncio.sleep(1)
    copy = store.copy()
    store.put("targets", "i-3", b"10.0.0.3:80")
    await asyncio.sleep(1)
    store.restore(copy)
    store.put("targets", "i-4", b"10.0.0.4:80")
    await asyncio.sleep(3)
    assert "i-4" in available_names(directory)


async def test_an_older_snapshot_is_not_read_again_and_again(watched):
    store, _, watch = watched
    await watch.start()
    await asyncio.sleep(1)
    watch._known_revision += 1000
    watch._watch_revision = None
    calls = store.calls
    await asyncio.sleep(5)
    assert store.calls - calls < 30
