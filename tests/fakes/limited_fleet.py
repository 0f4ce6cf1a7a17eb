from __future__ import annotations

import asyncio
import dataclasses
import random

from prometheus_client import CollectorRegistry

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.entry import EntryRequest
from balsamway.exchange import ByteBudget
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.forwarding_settings import ForwardingSettings
from balsamway.forwarding.key_owner import KeyOwner
from balsamway.forwarding.service_targets import ServiceTargets
from balsamway.keyspace.key_map import KeyMap
from balsamway.keyspace.load_aggregator import LoadAggregator
from balsamway.limits.cold_notices import ColdNotices
from balsamway.limits.limit_metrics import LimitMetrics
from balsamway.limits.token_client import TokenClient
from balsamway.node.load_reporter import LoadReporter
from balsamway.outcome import Completed
from balsamway.routing import (
    Backend,
    Route,
    RoutedService,
    RouteType,
    RoutingConfiguration,
)
from tests.fakes.faults import Faults
from tests.fakes.fixed_lease import FixedLease
from tests.fakes.limited_target import LimitedTarget
from tests.fakes.network import FakeNetwork

SERVICE_SECONDS = 0.05
ZONES = ("z1", "z2", "z3")


class KeysOfTargets:
    """Gives key `n` to target `n`; implements `KeyOwners`."""

    def __init__(self, names):
        self._names = names
        self._changed = asyncio.get_running_loop().create_future()

    def find_owner(self, service, key):
        return KeyOwner(self._names[key], 1, True)

    def next_change(self):
        return self._changed


class LimitedTransport:
    """Delivers attempts to limited targets; implements `TargetTransport`."""

    def __init__(self, targets):
        self._targets = targets

    async def send(self, pool, target, request, timeout_seconds):
        limited = self._targets[target.name]
        limited.arrive()
        await asyncio.sleep(SERVICE_SECONDS)
        return AttemptResult(
            Completed(200, {}, b"ok"), AttemptOutcome.SERVED, limited.answer()
        )


class LimitedHost:
    """The parts of an entry host that keep the limits of targets."""

    def __init__(self, fleet, name, zone):
        self.name = name
        self.lease = FixedLease(name, fleet.leader)
        self.peers = fleet.network.peers(name)
        self.directory = TargetDirectory()
        self.targets = ServiceTargets(self.directory, lambda: None, 2.0, ByteBudget())
        self.directory.replace(fleet.entries)
        self.addresses = {}
        self.key_map = KeyMap()
        self.aggregator = LoadAggregator()
        rng = random.Random(f"{fleet.seed}/{name}")
        self.token_client = TokenClient(
            name,
            self.peers,
            self.lease,
            self.targets,
            lambda: self.reporter.token_leader,
            lambda: self.reporter.host_count,
            LimitMetrics(CollectorRegistry()),
            rng,
        )
        self.forwarder = Forwarder(
            zone,
            self.targets,
            KeysOfTargets(list(fleet.targets)),
            fleet.transport,
            self.token_client,
            ForwardingSettings(),
            (),
            rng,
        )
        self.reporter = LoadReporter(
            name,
            zone,
            name,
            self.peers,
            self.addresses,
            self.forwarder,
            self.targets,
            self.key_map,
            self.lease,
            self.aggregator,
        )
        self.cold_notices = ColdNotices(
            name,
            self.peers,
            lambda: self.reporter.leader_name,
            lambda: self.aggregator.hosts,
            self.targets,
        )
        self.services = (self.reporter, self.token_client)

    async def start(self):
        for service in self.services:
            await service.start()

    async def stop(self):
        for service in self.services:
            await service.stop()


class LimitedFleet:
    """Entry hosts in front of targets, some of which name a limit.

    Each target has capacity for all requests, so that only its limit keeps
    requests from it. The hosts share one leader.
    """

    def __init__(
        self,
        host_count,
        target_count,
        is_keyed,
        seed=1,
        cold_per_second=None,
        warmup_seconds=3.0,
        capacity=1000,
    ):
        self.seed = seed
        self.rng = random.Random(seed)
        self.is_keyed = is_keyed
        self.faults = Faults()
        self.network = FakeNetwork(self.faults)
        self.leader = "h0"
        self.targets = {
            f"i-{number}": LimitedTarget(f"i-{number}")
            for number in range(target_count)
        }
        self.transport = LimitedTransport(self.targets)
        self.entries = [
            TargetEntry(
                name,
                1,
                "s",
                "127.0.0.1:1",
                ZONES[number % len(ZONES)],
                capacity,
                False,
                0.0,
            )
            for number, name in enumerate(self.targets)
        ]
        self.hosts = {
            f"h{number}": LimitedHost(self, f"h{number}", ZONES[number % len(ZONES)])
            for number in range(host_count)
        }
        self._requests = set()
        self.verdicts = []
        """For each request: its arrival, end, host, priority and verdict."""
        routes = tuple(
            Route(
                f"r{priority}",
                "h",
                f"/{priority}/",
                RouteType.SAFE,
                1.0,
                0.3,
                priority,
                2,
                (Backend("s", 1.0),),
            )
            for priority in (0, 1, 2)
        )
        service = RoutedService(
            "s", 1000, is_keyed, 0.0, warmup_seconds, cold_per_second
        )
        configuration = RoutingConfiguration(1, routes, {"s": service})
        self._configuration = configuration
        for host in self.hosts.values():
            host.forwarder.adopt(configuration)

    def add_host(self, name):
        host = self.hosts[name] = LimitedHost(self, name, ZONES[0])
        host.forwarder.adopt(self._configuration)
        return host

    async def start(self):
        for host in self.hosts.values():
            await host.start()

    async def stop(self):
        for host in self.hosts.values():
            await host.stop()

    def lead(self, name):
        """Make a host the leader, or nobody."""
        self.leader = name
        for host in self.hosts.values():
            host.lease.holder = name
            host.lease.held_epoch += 1

    async def turn_cold(self, name, seconds, within_seconds=0.0, incarnation=1):
        """Write an entry that reaches each host at a time of its own."""
        entry = next(entry for entry in self.entries if entry.name == name)
        written_at = asyncio.get_running_loop().time()
        cold = dataclasses.replace(
            entry, warmup_seconds=seconds, incarnation=incarnation
        )
        delays = {
            host: self.rng.uniform(0.0, within_seconds) for host in self.hosts.values()
        }
        for host in sorted(delays, key=delays.get):
            elapsed = asyncio.get_running_loop().time() - written_at
            await asyncio.sleep(max(0.0, delays[host] - elapsed))
            host.directory.update(dataclasses.replace(cold))

    async def send_requests(self, seconds, per_second, hosts=None, priorities=(0,)):
        """Send requests at random hosts for random targets, for some time."""
        loop = asyncio.get_running_loop()
        names = list(hosts or self.hosts)
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(per_second))
            task = asyncio.create_task(
                self._request(self.rng.choice(names), self.rng.choice(priorities))
            )
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _request(self, name, priority):
        arrived_at = asyncio.get_running_loop().time()
        request = EntryRequest(
            f"r{len(self.verdicts)}-{arrived_at}",
            "GET",
            "h",
            f"/{priority}/",
            (),
            b"",
            arrived_at,
            1.0,
            self.rng.randrange(len(self.targets)) if self.is_keyed else None,
        )
        verdict = await self.hosts[name].forwarder.forward(request)
        ended_at = asyncio.get_running_loop().time()
        self.verdicts.append((arrived_at, ended_at, name, priority, verdict))
