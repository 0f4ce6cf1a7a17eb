from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.store.era import version_of
from balsamway.store.kind_watch import KindWatch
from balsamway.store.object_store import HistoryGone
from tests.fakes.memory_store import MemoryStore
from tests.fakes.unaware_store import UnawareStore

pytestmark = pytest.mark.looptime

MAX_APPLY_SECONDS = 2.0
"""The time after its acknowledgement in which a configuration is in force."""


class Recorder:
    """Handles objects by recording when each body arrived."""

    def __init__(self):
        self.received = {}

    def on_snapshot(self, objects):
        for stored_object in objects:
            self.on_changed(stored_object)

    def on_changed(self, stored_object):
        at = asyncio.get_running_loop().time()
        self.received.setdefault(stored_object.body, at)

    def on_removed(self, name):
        pass

    def on_store_restored(self):
        pass

    def on_store_recovered(self):
        pass


@pytest.mark.parametrize("outage_seconds", [0.1, 0.3, 0.6, 1.0])
async def test_a_confirmed_host_learns_of_a_restore_from_the_leader(outage_seconds):
    loop = asyncio.get_running_loop()
    store = UnawareStore(era=1)
    store.put("config", "main", b"11")
    handler = Recorder()
    watch = KindWatch(store, "config", handler, 2.0, 0.05, random.Random(1))
    await watch.start()
    await asyncio.sleep(1.0)
    copy = store.copy()
    for _ in range(5):
        store.put("other", "x", b"")
    for _ in range(8):
        await asyncio.sleep(0.4)
        watch.on_confirmed(version_of(1, 2), store.version, 0.2)
    store.down = True
    await asyncio.sleep(outage_seconds)
    store.restore(copy)
    store.down = False
    store.put("config", "main", b"13")
    acknowledged_at = loop.time()
    for _ in range(10):
        store.put("other", "y", b"")
    for _ in range(15):
        watch.on_confirmed(version_of(2, 3), store.version, 0.0)
        await asyncio.sleep(0.4)
    await watch.stop()
    assert handler.received[b"13"] - acknowledged_at < MAX_APPLY_SECONDS


async def test_a_list_that_the_leader_overtakes_is_no_failure():
    class SlowStore(MemoryStore):
        lists = 0

        async def list(self, kind):
            result = await super().list(kind)
            self.lists += 1
            if self.lists > 1:
                await asyncio.sleep(0.25)
            return result

        async def watch(self, kind, after_revision, wait_seconds):
            if self.lists == 1:
                await asyncio.sleep(0.2)
                return HistoryGone()
            return await super().watch(kind, after_revision, wait_seconds)

    store = SlowStore(era=1)
    store.put("config", "main", b"11")
    watch = KindWatch(store, "config", Recorder(), 2.0, 0.05, random.Random(1))
    await watch.start()
    await asyncio.sleep(0.3)
    store.put("lease", "x", b"")
    watch.on_confirmed(version_of(1, 2), store.version, 0.0)
    await asyncio.sleep(0.3)
    assert not watch.is_failing
    await watch.stop()
