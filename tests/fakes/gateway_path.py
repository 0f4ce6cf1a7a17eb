"""The whole request path of one gateway, with fakes around it."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
from prometheus_client import CollectorRegistry

from balsamway.gateway import CallerListener, Gateway, GatewayLimits, GatewayMetrics
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.target_pool import TargetPool
from balsamway.targets.http_transport import HttpTransport
from tests.fakes.gateway_configurations import TOKEN, GatewayConfigurations
from tests.fakes.gateway_directory import GatewayDirectory
from tests.fakes.gateway_recorder import GatewayRecorder
from tests.fakes.gateway_routes import GatewayRoutes
from tests.fakes.gateway_target import GatewayTarget

QUICK_STOP = GatewayLimits(linger_seconds=0.05)


@dataclass(frozen=True)
class CallerAnswer:
    """A response as the caller receives it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        return self.headers["Balsamway-Verdict"]

    @property
    def reason(self) -> str:
        return self.headers["Balsamway-Reason"]


@dataclass
class GatewayPath:
    """One gateway with its listener, its HTTP transport and some targets."""

    limits: GatewayLimits = QUICK_STOP
    configurations: GatewayConfigurations = field(default_factory=GatewayConfigurations)
    directory: GatewayDirectory = field(default_factory=GatewayDirectory)
    routes: GatewayRoutes = field(default_factory=GatewayRoutes)
    recorder: GatewayRecorder = field(default_factory=GatewayRecorder)
    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    targets: list[GatewayTarget] = field(default_factory=list)

    async def start(self) -> GatewayPath:
        metrics = GatewayMetrics(self.registry)
        self.budget = ConnectionBudget("g1", self.directory, self.configurations)
        self.pool = TargetPool(self.directory, self.budget, random.Random(2))
        self.transport = HttpTransport(self.budget.limit, metrics.on_open)
        self.gateway = Gateway(
            self.pool,
            self.routes,
            self.transport,
            self.recorder,
            metrics,
            "a",
            random.Random(1),
        )
        self.listener = CallerListener(
            "127.0.0.1:0", self.gateway, self.configurations, metrics, self.limits
        )
        await self.listener.start()
        self.caller = aiohttp.ClientSession()
        return self

    async def add_target(self, **options) -> GatewayTarget:
        target = await GatewayTarget(**options).start()
        self.targets.append(target)
        self.directory.hosts = (*self.directory.hosts, target.host)
        return target

    async def stop(self) -> None:
        await self.caller.close()
        await self.listener.stop()
        await self.transport.close()
        for target in self.targets:
            await target.stop()

    async def post(self, path="/v1/prices/lookup", body=b"", **headers):
        """Send one request and return its response.

        Header names have underscores: `Balsamway_Key` for `Balsamway-Key`.
        """
        sent_headers = {"Authorization": f"Bearer {TOKEN}"}
        sent_headers.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        url = f"http://{self.listener.address}{path}"
        async with self.caller.post(url, data=body, headers=sent_headers) as response:
            body = await response.read()
            return CallerAnswer(response.status, response.headers, body)
