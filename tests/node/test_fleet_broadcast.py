"""Messages of a leader to 195 hosts in six zones, on a paused clock."""

from __future__ import annotations

import asyncio
import itertools

import msgpack
import pytest

from balsamway.clock import now
from balsamway.keyspace.known_host import KnownHost
from balsamway.keyspace.messages import FleetNotice
from balsamway.node.fleet_broadcast import FleetBroadcast
from balsamway.node.zone_relays import MIN_HOSTS, RELAY_TIMEOUT_SECONDS, ZoneRelays
from balsamway.peers import codec

pytestmark = pytest.mark.looptime

ZONES = ["z1", "z2", "z3", "z4", "z5", "z6"]
HOST_COUNT = 195
LEADER = "z1-0"
INTERVAL_SECONDS = 0.4
"""The interval at which the leader sends and the hosts report."""
MAX_GAP_SECONDS = 2.0
"""The longest time that a host may be without the leader's messages after the
loss of a relay. A change must be in force within it."""
NAMES = tuple(f"i-{number:010x}" for number in range(271))
NOTICE = FleetNotice(1, LEADER, "a", HOST_COUNT, 7, NAMES, b"\x04\x20" * len(NAMES))


class Network:
    """Delivers encoded messages and counts the bytes between zones."""

    def __init__(self):
        self.handlers = {}
        self.lost_links = set()
        self.down = set()
        self.bytes_between_zones = 0

    def peers(self, host):
        return NetworkEnd(self, host)

    def is_up(self, sender, receiver):
        return sender == receiver or (
            not {sender, receiver} & self.down
            and (sender, receiver) not in self.lost_links
        )


class NetworkEnd:
    """One host's end of the network."""

    def __init__(self, network, host):
        self.network, self.host = network, host

    def register_handler(self, message_type, handler):
        self.network.handlers[(self.host, message_type)] = handler

    def send(self, host, message):
        self.send_encoded(host, codec.encode(codec.Frame(0, False, message)))

    def send_encoded(self, host, encoded):
        network = self.network
        if not network.is_up(self.host, host):
            return
        if host[:2] != self.host[:2]:
            network.bytes_between_zones += len(encoded)
        message = codec.decode(msgpack.unpackb(encoded, strict_map_key=False)).message
        handler = network.handlers[(host, type(message))]
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, lambda: loop.create_task(handler(self.host, message)))


class Fleet:
    """The hosts of a deployment, of which the first one leads."""

    def __init__(self):
        self.network = Network()
        self.known = {}
        self.received_at = {}
        self.largest_gap = {}
        names = [f"{ZONES[number % 6]}-{number // 6}" for number in range(HOST_COUNT)]
        self.broadcasts = {name: self.add_host(name) for name in names}

    def add_host(self, name):
        peers = self.network.peers(name)
        broadcast = FleetBroadcast(name, peers, {}, lambda: self.known)

        async def on_fleet(sender, notice):
            broadcast.on_received(sender, notice.leader)
            self.note_received(name)

        peers.register_handler(FleetNotice, on_fleet)
        return broadcast

    def note_received(self, name):
        gap = now() - self.received_at.get(name, now())
        self.largest_gap[name] = max(gap, self.largest_gap.get(name, 0.0))
        self.received_at[name] = now()

    async def play(self, seconds):
        """Let hosts report and the leader send, for some time."""
        end = now() + seconds
        while now() < end:
            self.report()
            self.broadcasts[LEADER].send(NOTICE)
            await asyncio.sleep(INTERVAL_SECONDS)

    def report(self):
        """Let each host report to its relay, and others to the leader."""
        for name, broadcast in self.broadcasts.items():
            relay = broadcast.relay
            path = (name, LEADER) if not relay else (name, relay, LEADER)
            if not all(itertools.starmap(self.network.is_up, itertools.pairwise(path))):
                continue
            self.known[name] = KnownHost(f"{name}:1", name[:2], now(), relay, False)

    def relay_of(self, zone):
        return self.broadcasts[f"{zone}-9"].relay

    def gaps(self, leave_out=()):
        """Return the longest time without a message, also one that goes on."""
        for name in self.broadcasts:
            if name != LEADER and name not in leave_out:
                self.note_received(name)
        return {
            name: gap for name, gap in self.largest_gap.items() if name not in leave_out
        }


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.play(5.0)
    return fleet


async def test_a_message_crosses_to_each_zone_once(fleet):
    fleet.network.bytes_between_zones = 0
    await fleet.play(INTERVAL_SECONDS / 2)
    encoded = codec.encode(codec.Frame(0, False, NOTICE))
    assert fleet.network.bytes_between_zones < 1.5 * 5 * len(encoded)
    assert len(fleet.gaps()) == HOST_COUNT - 1


async def test_the_loss_of_a_relay_leaves_no_host_without_messages(fleet):
    lost = fleet.relay_of("z3")
    fleet.network.down.add(lost)
    await fleet.play(6.0)
    assert max(fleet.gaps({lost}).values()) <= MAX_GAP_SECONDS
    assert fleet.relay_of("z3") not in ("", lost)


async def test_a_relay_that_reaches_no_host_of_its_zone_withholds_nothing(fleet):
    relay = fleet.relay_of("z2")
    fleet.network.lost_links |= {
        (relay, name) for name in fleet.broadcasts if name not in (LEADER, relay)
    }
    await fleet.play(6.0)
    assert max(fleet.gaps().values()) <= MAX_GAP_SECONDS


async def test_a_relay_that_the_leader_does_not_reach_withholds_nothing(fleet):
    relay = fleet.relay_of("z4")
    fleet.network.lost_links.add((LEADER, relay))
    await fleet.play(6.0)
    assert max(fleet.gaps({relay}).values()) <= MAX_GAP_SECONDS


async def test_the_loss_of_every_relay_at_once_leaves_no_host_without_messages(fleet):
    lost = {fleet.relay_of(zone) for zone in ZONES[1:]}
    assert len(lost) == 5
    fleet.network.down |= lost
    await fleet.play(6.0)
    assert max(fleet.gaps(lost).values()) <= MAX_GAP_SECONDS


async def test_few_hosts_get_every_message_from_the_leader():
    hosts = {
        f"z2-{number}": KnownHost("", "z2", now(), "", False)
        for number in range(MIN_HOSTS - 2)
    }
    fan_out = ZoneRelays().plan(hosts)
    assert set(fan_out.direct) == set(hosts)
    assert not fan_out.relayed


async def test_a_relay_is_kept_until_it_drains_or_stops_reporting():
    def zone(drains=(), silent=()):
        return {
            f"z2-{number}": KnownHost(
                "",
                "z2",
                now() - (RELAY_TIMEOUT_SECONDS + 0.1 if number in silent else 0.0),
                "",
                number in drains,
            )
            for number in range(20)
        }

    def number_of(fan_out):
        (relay,) = fan_out.relayed
        return int(relay.removeprefix("z2-"))

    relays = ZoneRelays()
    first = number_of(relays.plan(zone()))
    assert number_of(relays.plan(zone())) == first
    second = number_of(relays.plan(zone(drains={first})))
    assert second != first
    third = number_of(relays.plan(zone(silent={second})))
    assert third != second
    assert not ZoneRelays().plan(zone(silent=range(20))).relayed
