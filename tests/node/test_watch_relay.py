"""Watch relays of four entry hosts, on a paused clock and one store."""

from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.keyspace.leader_lease import LeaderLease
from balsamway.node.messages import ObjectsChanged
from balsamway.node.watch_relay import MAX_WATCH_SECONDS, WatchRelay
from balsamway.store.kind_watch import KindWatch
from balsamway.store.store import Unavailable
from tests.fakes.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

MAX_CHANGE_DELAY_SECONDS = 1.5
"""The time within which every host must know a change. A draining target
still gets requests for its keys for half a second after a host learns of it,
and must get none after two seconds."""
HOSTS = "abcd"


class HostStore:
    """One host's connection to the shared store, which can stop answering."""

    def __init__(self, shared):
        self.shared = shared
        self.calls = 0
        self.is_unresponsive = False

    def __getattr__(self, name):
        async def call(*args, **options):
            self.calls += 1
            if self.is_unresponsive:
                await asyncio.sleep(MAX_WATCH_SECONDS + 0.6)
                return Unavailable("no answer")
            result = await getattr(self.shared, name)(*args, **options)
            if self.is_unresponsive:
                await asyncio.sleep(MAX_WATCH_SECONDS + 0.6)
                return Unavailable("no answer")
            return result

        return call


class MessageBus:
    """Delivers messages between hosts, and can lose or delay them."""

    def __init__(self):
        self.handlers = {}
        self.is_lost = lambda sender, message: False
        self.delay_seconds = 0.001

    def peers(self, host):
        return _Peers(self, host)


class _Peers:
    def __init__(self, bus, host):
        self._bus, self._host = bus, host

    def register_handler(self, message_type, handler):
        self._bus.handlers[(self._host, message_type)] = handler

    def send(self, host, message):
        if self._bus.is_lost(self._host, message):
            return
        handler = self._bus.handlers[(host, type(message))]
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._bus.delay_seconds,
            lambda: loop.create_task(handler(self._host, message)),
        )


class ObjectRecorder:
    """Implements `KindHandler`; keeps the objects and counts recoveries."""

    def __init__(self):
        self.bodies = {}
        self.recoveries = 0

    def on_snapshot(self, objects):
        self.bodies = {
            stored_object.name: stored_object.body for stored_object in objects
        }

    def on_changed(self, stored_object):
        self.bodies[stored_object.name] = stored_object.body

    def on_removed(self, name):
        self.bodies.pop(name, None)

    def on_store_recovered(self):
        self.recoveries += 1


class Host:
    """The watch, lease and relay of one entry host."""

    def __init__(self, name, shared, bus):
        self.store = HostStore(shared)
        self.recorder = ObjectRecorder()
        rng = random.Random(name)
        self.watch = KindWatch(
            self.store, "targets", self.recorder, MAX_WATCH_SECONDS, 0.05, rng
        )
        self.lease = LeaderLease(self.store, name, f"{name}:1", lambda: True, rng)
        self.relay = WatchRelay(
            name, bus.peers(name), lambda: HOSTS, {"targets": self.watch}, self.lease
        )
        self.components = (self.watch, self.lease, self.relay)

    async def start(self):
        for component in self.components:
            await component.start()

    async def stop(self):
        for component in self.components:
            await component.stop()


class Fleet:
    """Four entry hosts that share one store and one message bus."""

    def __init__(self):
        self.store = MemoryStore()
        self.store.put("targets", "i-1", b"1")
        self.bus = MessageBus()
        self.hosts = {}

    async def start(self):
        for name in HOSTS:
            host = self.hosts[name] = Host(name, self.store, self.bus)
            await host.start()
        await asyncio.sleep(6)
        return self

    @property
    def leader(self):
        (leader,) = [
            name for name, host in self.hosts.items() if host.lease.epoch is not None
        ]
        return leader

    @property
    def followers(self):
        return [host for name, host in self.hosts.items() if name != self.leader]

    def has_body(self, body, hosts):
        """Return for each host whether it knows `i-2` with this body."""
        return [host.recorder.bodies.get("i-2") == body for host in hosts]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    for host in fleet.hosts.values():
        await host.stop()


async def test_hosts_confirmed_by_the_leader_make_no_calls(fleet):
    await fleet.start()
    calls_before = {name: host.store.calls for name, host in fleet.hosts.items()}
    await asyncio.sleep(20)
    new_calls = {
        name: host.store.calls - calls_before[name]
        for name, host in fleet.hosts.items()
    }
    assert sum(new_calls[name] for name in HOSTS if name != fleet.leader) == 0
    assert new_calls[fleet.leader] > 20


@pytest.mark.parametrize("wait_seconds", [number / 10 for number in range(10)])
async def test_change_reaches_all_hosts_through_the_leader(fleet, wait_seconds):
    await fleet.start()
    await asyncio.sleep(wait_seconds)
    fleet.store.revision += 1
    await asyncio.sleep(0.03)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert all(fleet.has_body(b"2", fleet.hosts.values()))
    fleet.store.delete("targets", "i-2")
    await asyncio.sleep(0.1)
    assert all(fleet.has_body(None, fleet.hosts.values()))


@pytest.mark.parametrize("wait_seconds", [0.0, 0.15, 0.35, 0.7, 0.95])
async def test_change_after_messages_of_the_leader_are_lost_arrives_in_time(
    fleet, wait_seconds
):
    await fleet.start()
    await asyncio.sleep(wait_seconds)
    leader, followers = fleet.leader, fleet.followers
    fleet.bus.is_lost = lambda sender, message: sender == leader
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(MAX_CHANGE_DELAY_SECONDS)
    assert all(fleet.has_body(b"2", followers))


@pytest.mark.parametrize("wait_seconds", [0.0, 0.15, 0.35, 0.7, 0.95])
async def test_leader_without_responses_of_the_store_hides_no_change(
    fleet, wait_seconds
):
    await fleet.start()
    await asyncio.sleep(wait_seconds)
    fleet.hosts[fleet.leader].store.is_unresponsive = True
    followers = fleet.followers
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(MAX_CHANGE_DELAY_SECONDS)
    assert all(fleet.has_body(b"2", followers))


async def test_host_that_missed_a_change_calls_the_store(fleet):
    await fleet.start()
    fleet.bus.is_lost = lambda sender, message: isinstance(message, ObjectsChanged)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(MAX_CHANGE_DELAY_SECONDS)
    assert all(fleet.has_body(b"2", fleet.followers))


async def test_delayed_confirmation_does_not_count_as_recent(fleet):
    await fleet.start()
    leader, followers = fleet.leader, fleet.followers
    fleet.bus.delay_seconds = 1.7
    await asyncio.sleep(4)
    fleet.bus.is_lost = lambda sender, message: isinstance(message, ObjectsChanged)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert all(fleet.has_body(b"2", followers)), "the hosts watch the store themselves"
    assert fleet.leader == leader


async def test_lease_is_claimed_soon_after_a_resignation(fleet):
    await fleet.start()
    first_leader = fleet.leader
    await fleet.hosts[first_leader].lease.resign()
    await asyncio.sleep(0.5)
    assert fleet.leader != first_leader


async def test_stopped_leader_is_replaced_in_time(fleet):
    await fleet.start()
    first_leader = fleet.leader
    await fleet.hosts[first_leader].stop()
    await asyncio.sleep(4)
    del fleet.hosts[first_leader]
    assert fleet.leader != first_leader


async def test_host_that_the_store_does_not_answer_follows_the_leader(fleet):
    await fleet.start()
    follower = fleet.followers[0]
    follower.store.is_unresponsive = True
    await asyncio.sleep(5)
    fleet.store.put("targets", "i-2", b"2")
    await asyncio.sleep(0.1)
    assert fleet.has_body(b"2", [follower]) == [True]
    assert not follower.watch.is_failing


async def test_short_outage_counts_from_the_last_response_to_the_leader(fleet):
    """Guards against dropping live targets after an outage of the store.

    Hosts that were confirmed by the leader see only the end of the outage.
    They must still treat it as one, so that targets whose entries expired in
    it get time to register again.
    """
    await fleet.start()
    fleet.store.down = True
    await asyncio.sleep(2.0)
    fleet.store.down = False
    await asyncio.sleep(1)
    assert all(host.recorder.recoveries for host in fleet.hosts.values())
