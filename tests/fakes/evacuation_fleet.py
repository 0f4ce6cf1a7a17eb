"""A leader and entry hosts in front of keyed targets in several zones."""

from __future__ import annotations

import asyncio
import random

from balsamway.discovery import TargetDirectory
from balsamway.entry import EntryRequest
from balsamway.evacuation import EvacuatedZones, EvacuationsHandler
from balsamway.exchange import ByteBudget
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.forwarding_settings import ForwardingSettings
from balsamway.forwarding.service_targets import ServiceTargets
from balsamway.keyspace.key_leader import KeyLeader
from balsamway.keyspace.key_map import KeyMap
from balsamway.keyspace.leader_lease import LeaderLease
from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.keyspace.messages import LoadNotice
from balsamway.outcome import Completed, NotRun, Reason
from balsamway.routing import (
    Backend,
    Route,
    RoutedService,
    RouteType,
    RoutingConfiguration,
)
from balsamway.store.kind_watch import KindWatch
from tests.fakes.admit_all import AdmitAll
from tests.fakes.keyed_targets import GRAIN, KeyedTargets
from tests.fakes.memory_store import MemoryStore

EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 2.5
LATENCY_SECONDS = 0.001
"""How long a message between hosts, or a request to a target, takes."""
SERVICE_SECONDS = 0.16
REPORT_INTERVAL_SECONDS = 0.4
KIND = "evacuations"


def now():
    return asyncio.get_running_loop().time()


class KeyedTransport:
    """Delivers attempts to the keyed targets; implements `TargetTransport`."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def send(self, pool, target, request, timeout_seconds):
        receiver = self._fleet.targets.all[target.name]
        self._fleet.sent.append((now(), receiver.zone, request.request_id))
        await asyncio.sleep(LATENCY_SECONDS)
        if not receiver.holding(request.key):
            return AttemptResult(NotRun(Reason.NO_OWNER), AttemptOutcome.KEY_NOT_HELD)
        await asyncio.sleep(SERVICE_SECONDS)
        return AttemptResult(Completed(200, {}, b"ok"), AttemptOutcome.SERVED)


class EvacuationHost:
    """The parts of an entry host that know evacuations and send requests."""

    def __init__(self, fleet, number):
        self.zones = EvacuatedZones(EVACUATE_SECONDS)
        self.zones.replace(())
        self.directory = TargetDirectory(self.zones)
        self.targets = ServiceTargets(
            self.directory, lambda: None, DRAIN_SECONDS, ByteBudget()
        )
        self.directory.replace(fleet.entries())
        self.key_map = KeyMap()
        self.forwarder = Forwarder(
            "z1",
            self.targets,
            self.key_map,
            KeyedTransport(fleet),
            AdmitAll(),
            ForwardingSettings(),
            (),
            random.Random(number),
        )
        route = Route(
            "r",
            "h",
            "/",
            RouteType.SAFE,
            1.755,
            0.59,
            0,
            2,
            (Backend("k", 1.0),),
        )
        services = {"k": RoutedService("k", 490, True)}
        self.forwarder.adopt(RoutingConfiguration(1, (route,), services))


class EvacuationLeader:
    """The parts of an entry host that lead; each watches the store itself."""

    def __init__(self, fleet, name):
        rng = random.Random(name)
        self.zones = EvacuatedZones(EVACUATE_SECONDS)
        self.directory = TargetDirectory(self.zones)
        self.directory.replace(fleet.entries())
        handler = EvacuationsHandler(self.zones)
        self.watch = KindWatch(fleet.store, KIND, handler, 0.7, 0.05, rng)
        self.lease = LeaderLease(fleet.store, name, f"{name}:1", lambda: True, rng)
        self.leader = KeyLeader(
            fleet.store,
            self.lease,
            self.directory,
            fleet.aggregator,
            fleet.targets,
            lambda: ("k",),
            fleet.publish,
        )

    async def start(self):
        for service in (self.watch, self.lease, self.leader):
            await service.start()

    async def stop(self):
        """Stop without resigning, as a killed process does."""
        for service in (self.leader, self.lease, self.watch):
            await service.stop()


class EvacuationFleet:
    """Hosts that get the key maps of one leader, which watches the store.

    Tests say when each of the other hosts learns of an evacuation.
    """

    def __init__(self, target_count_by_zone, host_count=4, leaders=("a",), seed=1):
        self.rng = random.Random(seed)
        zones = [
            zone for zone, count in target_count_by_zone.items() for _ in range(count)
        ]
        self.store = MemoryStore()
        self.targets = KeyedTargets(*(f"t{number}" for number in range(len(zones))))
        for target, zone in zip(self.targets.all.values(), zones, strict=True):
            target.zone = zone
            target.working_seconds = SERVICE_SECONDS
        self.sent = []
        """The time, the target's zone and the request id of each attempt."""
        self.verdicts = []
        """The arrival and the verdict of each request."""
        self.hosts = [EvacuationHost(self, number) for number in range(host_count)]
        self.aggregator = LoadAggregator()
        self.leaders = [EvacuationLeader(self, name) for name in leaders]
        """The hosts that may lead."""
        self._tasks = set()

    def entries(self):
        return [target.entry() for target in self.targets.all.values()]

    async def start(self):
        for leader in self.leaders:
            await leader.start()
        self._start_task(self._report_periodically())
        await asyncio.sleep(4.0)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for leader in self.leaders:
            await leader.stop()

    async def kill_leader(self):
        """Stop the host that leads."""
        leader = next(leader for leader in self.leaders if leader.lease.epoch)
        self.leaders.remove(leader)
        await leader.stop()

    def evacuate(self, zone, delays=(LATENCY_SECONDS,)):
        """Write an entry, and tell the hosts after the delays, in turn."""
        self.store.put(KIND, zone, b"")
        self._tell(EvacuatedZones.add, zone, delays)

    def withdraw(self, zone, delays=(LATENCY_SECONDS,)):
        self.store.delete(KIND, zone)
        self._tell(EvacuatedZones.remove, zone, delays)

    def owned_in(self, *zones):
        """Return the keys that targets of the zones own."""
        return [
            key
            for target in self.targets.all.values()
            if target.zone in zones
            for key in target.holds
            if target.holding(key)
        ]

    async def send_requests(self, seconds, per_second):
        """Send requests for random keys at random hosts, for some time."""
        ends_at = now() + seconds
        while now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(per_second))
            self._start_task(self._request(self.rng.choice(self.hosts)))

    async def _request(self, host):
        arrived_at = now()
        key = GRAIN * self.rng.randrange(65536 // GRAIN)
        request = EntryRequest(
            f"r{arrived_at}", "GET", "h", "/", (), b"", arrived_at, None, key
        )
        self.verdicts.append((arrived_at, await host.forwarder.forward(request)))

    async def _report_periodically(self):
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            for number, host in enumerate(self.hosts):
                counts = host.forwarder.take_key_counts()
                self.aggregator.add(
                    LoadNotice(f"g{number}", "z1", f"g{number}:1", {}, counts, {})
                )
            self.aggregator.decay({name: 4 for name in self.targets.all})

    def publish(self, notice):
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(LATENCY_SECONDS, host.key_map.on_notice, notice)

    def _tell(self, change, zone, delays):
        loop = asyncio.get_running_loop()
        for number, host in enumerate(self.hosts):
            loop.call_later(delays[number % len(delays)], change, host.zones, zone)

    def _start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
