"""The evacuations that a host knows, through every change of the store."""

from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.evacuation import EvacuatedZones, EvacuationsHandler
from balsamway.evacuation.evacuated_zones import RESTORED_HOLD_SECONDS
from balsamway.store.kind_watch import KindWatch
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

EVACUATE_SECONDS = 5.0
KIND = "evacuations"


class Host:
    """One host's watch of evacuations, with a target in each of two zones."""

    def __init__(self, store):
        self.zones = EvacuatedZones(EVACUATE_SECONDS)
        self.directory = TargetDirectory(self.zones)
        self.watch = KindWatch(
            store, KIND, EvacuationsHandler(self.zones), 2.0, 0.05, random.Random(1)
        )
        self.directory.replace(
            TargetEntry(f"i-{zone}", 1, "s", "127.0.0.1:1", zone, 3, False, 0.0)
            for zone in ("z1", "z2")
        )

    @property
    def available(self):
        targets = self.directory.available_targets("s")
        return sorted(entry.zone for entry in targets)


@pytest.fixture
async def store():
    return MemoryStore(era=1)


@pytest.fixture
async def host(store):
    host = Host(store)
    await host.watch.start()
    await asyncio.sleep(0.1)
    yield host
    await host.watch.stop()


async def test_all_zones_count_as_evacuated_until_the_entries_are_known():
    """Guards against requests to a zone from a host that has just started."""
    store = MemoryStore(down=True)
    store.put(KIND, "z1", b"")
    host = Host(store)
    await host.watch.start()
    await asyncio.sleep(1.0)
    assert not host.zones.is_known
    assert host.available == []
    store.down = False
    await asyncio.sleep(1.0)
    assert host.available == ["z2"]
    assert not host.zones.find("z1").may_receive(is_key_owner=True)
    await host.watch.stop()


async def test_zones_are_known_where_they_are_not_evacuated():
    zones = EvacuatedZones()
    assert zones.is_known
    assert zones.find("z1") is None


async def test_targets_of_a_zone_are_available_while_it_has_no_entry(store, host):
    assert host.available == ["z1", "z2"]
    store.put(KIND, "z1", b"{not even json")
    await asyncio.sleep(0.1)
    assert host.available == ["z2"]
    store.put(KIND, "z2", b"")
    await asyncio.sleep(0.1)
    assert host.available == []
    store.delete(KIND, "z1")
    await asyncio.sleep(0.1)
    assert host.available == ["z1"]
    assert host.zones.zones == ("z2",)


async def test_owners_in_the_zone_get_requests_for_a_part_of_the_time(store, host):
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    evacuation = host.zones.find("z1")
    assert not evacuation.may_receive(is_key_owner=False)
    assert evacuation.may_receive(is_key_owner=True)
    await asyncio.sleep(0.5 * EVACUATE_SECONDS)
    assert not evacuation.may_receive(is_key_owner=True)


async def test_a_rewritten_entry_does_not_begin_the_time_again(store, host):
    store.put(KIND, "z1", b"1")
    await asyncio.sleep(0.1)
    evacuation = host.zones.find("z1")
    store.put(KIND, "z1", b"2")
    await asyncio.sleep(0.1)
    assert host.zones.find("z1") == evacuation


async def test_an_entry_that_goes_and_appears_again_evacuates_again(store, host):
    for _ in range(3):
        store.put(KIND, "z1", b"")
        await asyncio.sleep(0.1)
        assert host.available == ["z2"]
        store.delete(KIND, "z1")
        await asyncio.sleep(0.1)
        assert host.available == ["z1", "z2"]
    store.put(KIND, "z1", b"")
    store.delete(KIND, "z1")
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    assert host.available == ["z2"]


async def test_what_is_known_holds_while_the_store_is_away(store, host):
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    store.down = True
    store.delete(KIND, "z1")
    await asyncio.sleep(20.0)
    assert host.available == ["z2"]
    store.down = False
    await asyncio.sleep(1.0)
    assert host.available == ["z1", "z2"]


async def test_an_entry_of_unknown_age_leaves_owners_no_time(store, host):
    """Guards against requests after the time, for an entry that is old."""
    store.down = True
    store.put(KIND, "z1", b"")
    await asyncio.sleep(10.0)
    store.down = False
    await asyncio.sleep(1.0)
    assert not host.zones.find("z1").may_receive(is_key_owner=True)


async def test_an_evacuation_that_a_restore_lost_is_held_for_a_time(store, host):
    copy = store.copy()
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    store.restore(copy)
    await asyncio.sleep(2.0)
    assert host.available == ["z2"]
    host.zones.remove_expired()
    assert host.available == ["z2"]
    await asyncio.sleep(RESTORED_HOLD_SECONDS)
    host.zones.remove_expired()
    assert host.available == ["z1", "z2"]


async def test_an_evacuation_that_is_written_again_after_a_restore_stays(store, host):
    copy = store.copy()
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    evacuation = host.zones.find("z1")
    store.restore(copy)
    await asyncio.sleep(2.5)
    store.put(KIND, "z1", b"")
    await asyncio.sleep(2.0 * RESTORED_HOLD_SECONDS)
    host.zones.remove_expired()
    assert host.zones.find("z1") == evacuation


async def test_an_evacuation_that_a_restore_brings_back_is_in_force(store, host):
    """The entry exists again, and nobody tells whether that is wanted."""
    store.put(KIND, "z1", b"")
    await asyncio.sleep(0.1)
    copy = store.copy()
    store.delete(KIND, "z1")
    await asyncio.sleep(0.1)
    assert host.available == ["z1", "z2"]
    store.restore(copy)
    await asyncio.sleep(2.5)
    assert host.available == ["z2"]
    store.delete(KIND, "z1")
    await asyncio.sleep(0.2)
    assert host.available == ["z1", "z2"]
