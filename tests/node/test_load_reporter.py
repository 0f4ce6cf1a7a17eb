"""Load reporters of three zones, whose messages pass through relays."""

from __future__ import annotations

import asyncio

import msgpack
import pytest

from balsamway.keyspace.key_map import KeyMap
from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.keyspace.messages import KeyMapNotice, ZoneLoadNotice
from balsamway.node.fleet_broadcast import FleetBroadcast
from balsamway.node.load_reporter import LoadReporter
from balsamway.peers import codec

pytestmark = pytest.mark.looptime

ZONES = ["z1", "z2", "z3"]
HOST_COUNT = 30
LEADER = "z1-0"
MAX_LOAD_AGE_SECONDS = 1.0
"""The time within which all hosts must know a request that another one sent.
Requests take about 0.3 s; a queue grows by few of them in this time."""


class Entry:
    def __init__(self, name):
        self.name, self.capacity = name, 3


class State:
    """One host's state of a target."""

    def __init__(self, name):
        self.entry = Entry(name)
        self.in_flight = self.answered = 0
        self.remote_in_flight = 0.0
        self.service_seconds = None

    def take_counts(self):
        counts = (self.in_flight, self.answered, self.answered, 290 * self.answered)
        self.answered = 0
        return counts


class Targets:
    def __init__(self, names):
        self.states = {name: State(name) for name in names}

    def all(self):
        return tuple(self.states.values())


class Forwarder:
    def __init__(self):
        self.host_count = 0

    def set_host_count(self, host_count):
        self.host_count = host_count

    def take_key_counts(self):
        return {}


class Lease:
    def __init__(self, is_leader):
        self.epoch = 3 if is_leader else None
        self.leader = (3, LEADER, f"{LEADER}:1")


class Network:
    def __init__(self):
        self.handlers = {}
        self.delivered = []
        self.is_lost = lambda receiver, message: False

    def peers(self, host):
        return NetworkEnd(self, host)


class NetworkEnd:
    def __init__(self, network, host):
        self.network, self.host = network, host

    def register_handler(self, message_type, handler):
        self.network.handlers[(self.host, message_type)] = handler

    def send(self, host, message):
        self.send_encoded(host, codec.encode(codec.Frame(0, False, message)))

    def send_encoded(self, host, encoded):
        message = codec.decode(msgpack.unpackb(encoded, strict_map_key=False)).message
        if self.network.is_lost(host, message):
            return
        self.network.delivered.append((self.host, host, type(message)))
        handler = self.network.handlers[(host, type(message))]
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, lambda: loop.create_task(handler(self.host, message)))


class Host:
    def __init__(self, name, network, target_names):
        peers = network.peers(name)
        self.targets = Targets(target_names)
        self.forwarder = Forwarder()
        self.key_map = KeyMap()
        aggregator = LoadAggregator()
        addresses = {}
        self.broadcast = FleetBroadcast(
            name, peers, addresses, lambda: aggregator.hosts
        )
        self.reporter = LoadReporter(
            name,
            name[:2],
            f"{name}:1",
            peers,
            addresses,
            self.forwarder,
            self.targets,
            self.key_map,
            Lease(name == LEADER),
            aggregator,
            self.broadcast,
            lambda: False,
        )


@pytest.fixture
async def network():
    return Network()


@pytest.fixture
async def hosts(network):
    names = [f"{ZONES[number % 3]}-{number // 3}" for number in range(HOST_COUNT)]
    hosts = {name: Host(name, network, ["i-1", "i-2"]) for name in names}
    for host in hosts.values():
        await host.reporter.start()
    await asyncio.sleep(5)
    yield hosts
    for host in hosts.values():
        await host.reporter.stop()


async def test_every_host_learns_of_the_others_requests_in_time(hosts):
    for number, host in enumerate(hosts.values()):
        state = host.targets.states["i-1"]
        state.in_flight, state.answered = number % 3, 1
    await asyncio.sleep(MAX_LOAD_AGE_SECONDS)
    total = sum(host.targets.states["i-1"].in_flight for host in hosts.values())
    for host in hosts.values():
        state = host.targets.states["i-1"]
        assert state.in_flight + state.remote_in_flight == total
        assert state.service_seconds == pytest.approx(0.29, rel=0.03)
        assert host.forwarder.host_count == HOST_COUNT


async def test_the_leader_hears_of_each_zone_from_its_relay_alone(hosts, network):
    network.delivered.clear()
    await asyncio.sleep(3)
    received = {
        (sender, kind)
        for sender, receiver, kind in network.delivered
        if receiver == LEADER
    }
    relays = {hosts[f"{zone}-1"].broadcast.relay for zone in ZONES}
    assert received == {(relay, ZoneLoadNotice) for relay in relays}


async def test_a_host_that_lists_other_targets_gets_the_loads_as_well(hosts):
    other = hosts["z2-3"]
    other.targets = Targets(["i-1"])
    other.reporter._targets = other.targets
    state = hosts["z3-2"].targets.states["i-1"]
    state.in_flight, state.answered = 5, 1
    await asyncio.sleep(6)
    assert other.targets.states["i-1"].remote_in_flight == 5


async def test_a_relay_repeats_a_key_map_that_a_host_of_its_zone_missed(hosts, network):
    network.is_lost = lambda receiver, message: (
        receiver == "z2-4" and isinstance(message, KeyMapNotice)
    )
    notice = KeyMapNotice(3, 9, "k", (("i-1", 1),), (65_535,), (0,), (True,), (0,))
    hosts[LEADER].reporter.publish(notice)
    await asyncio.sleep(0.1)
    assert hosts["z2-5"].key_map.find_owner("k", 7).name == "i-1"
    assert hosts["z2-4"].key_map.find_owner("k", 7) is None
    network.is_lost = lambda receiver, message: False
    network.delivered.clear()
    await asyncio.sleep(MAX_LOAD_AGE_SECONDS)
    assert hosts["z2-4"].key_map.find_owner("k", 7).name == "i-1"
    key_map_senders = {
        sender for sender, _, kind in network.delivered if kind is KeyMapNotice
    }
    assert key_map_senders == {hosts["z2-5"].broadcast.relay}
