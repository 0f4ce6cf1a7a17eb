from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import Unavailable
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

STABLE_SECONDS = 3.0
"""So long after an outage the bound on leaving targets holds again."""
CALL_SECONDS = 0.6


class HangingStore(MemoryStore):
    """Lets calls hang while it is down, until their client gives up."""

    async def list(self, kind):
        if self.down:
            await asyncio.sleep(CALL_SECONDS)
            return Unavailable("no answer")
        return await super().list(kind)


def decode(name, body):
    if not body:
        return None
    return TargetEntry(name, 1, "s", body.decode(), "z", 3, False, 0.0)


@pytest.fixture
async def followed():
    store = HangingStore()
    for name in ("i-1", "i-2"):
        store.put("targets", name, b"10.0.0.1:80")
    directory = TargetDirectory()
    handler = DirectoryHandler(directory, decode)
    watch = KindWatch(store, "targets", handler, 2.0, 0.3, random.Random(1))
    yield store, directory, watch
    await watch.stop()


def names(directory):
    return sorted(entry.name for entry in directory.available_targets("s"))


async def test_entries_are_listed_and_changes_followed(followed):
    store, directory, watch = followed
    await watch.start()
    await asyncio.sleep(0.1)
    assert names(directory) == ["i-1", "i-2"]
    store.put("targets", "i-3", b"10.0.0.3:80")
    store.delete("targets", "i-1")
    await asyncio.sleep(0.4)
    assert names(directory) == ["i-2", "i-3"]


async def test_an_entry_that_becomes_unreadable_names_no_target(followed):
    store, directory, watch = followed
    await watch.start()
    await asyncio.sleep(0.1)
    store.put("targets", "i-1", b"")
    await asyncio.sleep(0.4)
    assert names(directory) == ["i-2"]


async def test_a_forgotten_history_is_listed_again(followed):
    store, directory, watch = followed
    await watch.start()
    await asyncio.sleep(0.1)
    store.delete("targets", "i-1")
    store.history.clear()
    store.forgotten = store.revision
    await asyncio.sleep(3)
    assert names(directory) == ["i-2"]


@pytest.mark.parametrize("seconds", [2.0, 4.7, 9.9, 12.3])
async def test_a_target_that_left_in_an_outage_is_out_when_bounds_hold_again(
    followed, seconds
):
    store, directory, watch = followed
    await watch.start()
    await asyncio.sleep(0.1)
    store.down = True
    store.delete("targets", "i-1")
    await asyncio.sleep(seconds)
    assert names(directory) == ["i-1", "i-2"]
    store.down = False
    for _ in range(int(STABLE_SECONDS / 0.1)):
        await asyncio.sleep(0.1)
        directory.remove_expired()
    assert names(directory) == ["i-2"]


async def test_a_peers_objects_are_taken_only_while_the_store_fails(followed):
    store, directory, watch = followed
    await watch.start()
    await asyncio.sleep(0.1)
    kept = tuple(one for one in watch.objects if one.name == "i-1")
    watch.replace(kept, store.revision + 5)
    assert names(directory) == ["i-1", "i-2"]
    store.down = True
    await asyncio.sleep(3)
    watch.replace(kept, watch.known_revision - 1)
    assert names(directory) == ["i-1", "i-2"]
    watch.replace(kept, store.revision + 5)
    assert names(directory) == ["i-1"]
