from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.keyspace.leader_lease import LeaderLease
from balsamway.node.messages import ObjectsChanged
from balsamway.node.watch_relay import WATCH_SECONDS, WatchRelay
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import Unavailable
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

IN_FORCE_SECONDS = 1.5
"""How soon a change must be known on every host; a target that leaves still
gets what its keys bring for half a second, and nothing after two."""
HOSTS = "abcd"


class OwnStore:
    """One host's way to the shared store, which can go silent."""

    def __init__(self, shared):
        self.shared = shared
        self.calls = 0
        self.is_silent = False

    def __getattr__(self, name):
        async def call(*args, **options):
            self.calls += 1
            if self.is_silent:
                await asyncio.sleep(WATCH_SECONDS + 0.6)
                return Unavailable("no answer")
            found = await getattr(self.shared, name)(*args, **options)
            if self.is_silent:
                await asyncio.sleep(WATCH_SECONDS + 0.6)
                return Unavailable("no answer")
            return found

        return call


class Bus:
    """Carries messages between hosts, and loses or holds up some."""

    def __init__(self):
        self.handlers = {}
        self.lost = lambda sender, message: False
        self.delay = 0.001

    def peers(self, host):
        return _Peers(self, host)


class _Peers:
    def __init__(self, bus, host):
        self._bus, self._host = bus, host

    def register_handler(self, message_type, handler):
        self._bus.handlers[(self._host, message_type)] = handler

    def send(self, host, message):
        if self._bus.lost(self._host, message):
            return
        handler = self._bus.handlers[(host, type(message))]
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._bus.delay,
            lambda: loop.create_task(handler(self._host, message)),
        )


class Values:
    """Takes over what a watch finds."""

    def __init__(self):
        self.found = {}
        self.returned = 0

    def on_snapshot(self, objects):
        self.found = {one.name: one.body for one in objects}

    def on_changed(self, found):
        self.found[found.name] = found.body

    def on_removed(self, name):
        self.found.pop(name, None)

    def on_store_recovered(self):
        self.returned += 1


class Host:
    def __init__(self, name, shared, bus):
        self.store = OwnStore(shared)
        self.values = Values()
        rng = random.Random(name)
        self.watch = KindWatch(
            self.store, "targets", self.values, WATCH_SECONDS, 0.05, rng
        )
        self.lease = LeaderLease(self.store, name, f"{name}:1", lambda: True, rng)
        self.relay = WatchRelay(
            name, bus.peers(name), lambda: HOSTS, {"targets": self.watch}, self.lease
        )
        self.parts = (self.watch, self.lease, self.relay)

    async def start(self):
        for part in self.parts:
            await part.start()

    async def stop(self):
        for part in self.parts:
            await part.stop()


class Fleet:
    def __init__(self):
        self.store = MemoryStore()
        self.store.put("targets", "i-1", b"1")
        self.bus = Bus()
        self.hosts = {}

    async def start(self):
        for name in HOSTS:
            host = self.hosts[name] = Host(name, self.store, self.bus)
            await host.start()
        await asyncio.sleep(6)
        return self

    @property
    def leader(self):
        (name,) = [n for n, one in self.hosts.items() if one.lease.epoch is not None]
        return name

    @property
    def followers(self):
        return [one for n, one in self.hosts.items() if n != self.leader]

    def holds(self, body, hosts):
        return [one.values.found.get("i-2") == body for one in hosts]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    for host in fleet.hosts.values():
        await host.stop()


async def test_hosts_that_are_vouched_for_make_no_calls(fleet):
    await fleet.start()
    before = {name: one.store.calls for name, one in fleet.hosts.items()}
    await asyncio.sleep(20)
    made = {name: one.store.calls - before[name] for name, one in fleet.hosts.items()}
    assert sum(made[name] for name in HOSTS if name != fleet.leader) == 0
    assert made[fleet.leader] > 20


@pytest.mark.parametrize("waited", [number / 10 for number in range(10)])
async def test_a_change_reaches_all_hosts_through_the_leader(fleet, waited):
    await fleet.start()
    await asyncio.sleep(waited)
    fleet.store.revision += 1
    await asyncio.sleep(0.03)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert all(fleet.holds(b"2", fleet.hosts.values()))
    fleet.store.delete("targets", "i-2")
    await asyncio.sleep(0.1)
    assert all(fleet.holds(None, fleet.hosts.values()))


@pytest.mark.parametrize("waited", [0.0, 0.15, 0.35, 0.7, 0.95])
async def test_a_change_after_the_leader_is_lost_is_in_force_in_time(fleet, waited):
    await fleet.start()
    await asyncio.sleep(waited)
    leader, followers = fleet.leader, fleet.followers
    fleet.bus.lost = lambda sender, message: sender == leader
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert all(fleet.holds(b"2", followers))


@pytest.mark.parametrize("waited", [0.0, 0.15, 0.35, 0.7, 0.95])
async def test_a_leader_whose_store_fell_silent_hides_no_change(fleet, waited):
    await fleet.start()
    await asyncio.sleep(waited)
    fleet.hosts[fleet.leader].store.is_silent = True
    followers = fleet.followers
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert all(fleet.holds(b"2", followers))


async def test_a_host_that_missed_a_change_asks_the_store(fleet):
    await fleet.start()
    fleet.bus.lost = lambda sender, message: isinstance(message, ObjectsChanged)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert all(fleet.holds(b"2", fleet.followers))


async def test_a_notice_that_was_held_up_does_not_count_as_fresh(fleet):
    await fleet.start()
    leader, followers = fleet.leader, fleet.followers
    fleet.bus.delay = 1.7
    await asyncio.sleep(4)
    fleet.bus.lost = lambda sender, message: isinstance(message, ObjectsChanged)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert all(fleet.holds(b"2", followers)), "they watch by themselves"
    assert fleet.leader == leader


async def test_a_lease_that_is_given_up_is_taken_at_once(fleet):
    await fleet.start()
    first = fleet.leader
    await fleet.hosts[first].lease.resign()
    await asyncio.sleep(0.5)
    assert fleet.leader != first


async def test_a_lost_leader_is_followed_by_another_in_time(fleet):
    await fleet.start()
    first = fleet.leader
    await fleet.hosts[first].stop()
    await asyncio.sleep(4)
    del fleet.hosts[first]
    assert fleet.leader != first


async def test_a_host_without_the_store_follows_it_through_the_leader(fleet):
    await fleet.start()
    follower = fleet.followers[0]
    follower.store.is_silent = True
    await asyncio.sleep(5)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert fleet.holds(b"2", [follower]) == [True]
    assert not follower.watch.is_failing


async def test_a_short_outage_counts_from_the_leaders_last_answer(fleet):
    """Entries that lapsed meanwhile may return, on every host."""
    await fleet.start()
    fleet.store.down = True
    await asyncio.sleep(2.0)
    fleet.store.down = False
    await asyncio.sleep(1)
    assert all(one.values.returned for one in fleet.hosts.values())
