"""Gateways that share targets with a few slots each, without a network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry

from balsamway.gateway import CallerRequest, Gateway, GatewayMetrics
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.target_pool import TargetPool
from balsamway.outcome import Completed
from balsamway.store import Host, HostRole
from tests.fakes.gateway_configurations import LIDS, PRICES, GatewayConfigurations
from tests.fakes.gateway_directory import GatewayDirectory
from tests.fakes.gateway_recorder import GatewayRecorder
from tests.fakes.gateway_routes import GatewayRoutes
from tests.fakes.gateway_slots import GatewaySlots


@dataclass
class GatewayFleet:
    """Some gateways, each with its own view of the shared targets."""

    gateways: int = 3
    targets: int = 3
    zones: str = "abc"
    transport: GatewaySlots = field(default_factory=GatewaySlots)
    seed: int = 5
    completed_in_time: int = 0
    """Requests completed before the end of the offered load."""
    verdicts: Counter = field(default_factory=Counter)
    """Number of requests by kind and by reason of the verdict."""
    latest: float = 0.0
    """The longest time in seconds by which a request missed its deadline."""

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        names = tuple(f"g{number}" for number in range(self.gateways))
        hosts = tuple(
            Host(
                f"s{number}",
                HostRole.TARGET,
                self.zones[number % len(self.zones)],
                f"127.0.0.1:{number + 1}",
                "lids",
                "prices",
            )
            for number in range(self.targets)
        )
        self.directory = GatewayDirectory(hosts, names)
        self.workspaces = [self._gateway(name) for name in names]

    @property
    def capacity(self) -> float:
        """Requests per second that the targets can serve."""
        return self.targets * self.transport.slots / self.transport.run_seconds

    def _gateway(self, name):
        budget = ConnectionBudget(name, self.directory, GatewayConfigurations())
        pool = TargetPool(self.directory, budget, self.rng)
        zone = self.zones[int(name[1:]) % len(self.zones)]
        return Gateway(
            pool,
            GatewayRoutes(),
            self.transport,
            GatewayRecorder(),
            GatewayMetrics(CollectorRegistry()),
            zone,
            self.rng,
        )

    async def offer(self, rate: float, seconds: float, shares) -> None:
        """Send requests at random times for a while and await their verdicts.

        Args:
            rate: Mean number of requests per second.
            seconds: How long requests are sent.
            shares: Weight of each request kind.
        """
        loop = asyncio.get_running_loop()
        kinds, weights = zip(*shares.items(), strict=True)
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end:
                await asyncio.sleep(self.rng.expovariate(rate))
                kind = self.rng.choices(kinds, weights)[0]
                tasks.create_task(self._request(kind, end))

    async def _request(self, kind, end):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + kind.timeout_seconds
        request = CallerRequest(LIDS, PRICES, kind, "r", "", deadline, b"")
        verdict = await self.rng.choice(self.workspaces).handle(request)
        self.latest = max(self.latest, loop.time() - deadline)
        reason = "completed" if isinstance(verdict, Completed) else verdict.reason
        self.completed_in_time += reason == "completed" and loop.time() <= end
        self.verdicts[kind.name, str(reason)] += 1
