"""Sends requests without an owner through real gateways."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry

from balsamway.gateway import Gateway, GatewayMetrics
from balsamway.gateway.caller_request import CallerRequest
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.target_pool import TargetPool
from balsamway.observe.experiments.fleet_environment import KINDS, FleetEnvironment
from balsamway.observe.experiments.fleet_target import FleetTarget
from balsamway.observe.experiments.fleet_transport import FleetTransport
from balsamway.outcome import Completed, NotRun, Reason
from balsamway.ownership.route import NoRoute

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from balsamway.gateway.chooser import Chooser
    from balsamway.ownership.route import Route
    from balsamway.slices import ShardId

SLOTS = 3
"""How many requests a target runs at once."""

SERVICE_SECONDS = 0.020
"""The mean service time of a request at a target of normal speed. The service
times are exponential."""

KIND_WEIGHTS = (2, 5, 3)
"""The relative frequencies of the kinds of requests, ordered as `KINDS`."""


@dataclass(frozen=True, slots=True)
class FleetPhase:
    """A period of constant load."""

    seconds: float
    """The length of the period."""
    load: float
    """The request rate over the capacity of all slots."""


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """The conditions that all policies of one experiment share."""

    phases: tuple[FleetPhase, ...]
    seed: int
    targets: int = 8
    gateways: int = 12
    slowness: float = 1.0
    """The service time of the first target over that of the others."""
    cold_target: int | None = None
    """The index of the target with a cold start; None for no cold start."""
    cold_seconds: float = 5.0
    """How long the cold start lasts."""
    cold_slowness: float = 4.0
    """The service time during the cold start over the normal one."""

    @property
    def capacity(self) -> float:
        """The requests per second that all slots can run at normal speed."""
        return self.targets * SLOTS / SERVICE_SECONDS


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request and its result."""

    at: float
    """When it was sent, in seconds of the event loop's time."""
    kind: str
    completed: bool
    seconds: float
    """The time until its verdict."""
    false_refusal: bool
    """Whether its verdict was not run although a target had started it."""


class NullRoutes:
    """Routes of an experiment in which no service has owners."""

    async def find(self, shard: ShardId, position: int, deadline: float) -> NoRoute:
        """Return that there is no owner."""
        return NoRoute(Reason.NO_OWNER)

    def track_attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Raise an error, as no request has a route."""
        raise NotImplementedError

    def report_refusal(self, route: Route) -> None:
        """Do nothing, as no request has a route."""


class NullLoadRecorder:
    """A recorder that ignores the load of slices."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Ignore a record."""


class FleetRun:
    """Runs one policy on the arrivals of a setup."""

    def __init__(
        self,
        setup: FleetSetup,
        make_chooser: Callable[[str, random.Random], Chooser | None],
    ) -> None:
        """Prepare a run inside a running event loop.

        Args:
            setup: The load and the targets.
            make_chooser: Creates the policy of a gateway from its zone; it
                returns None for the gateway's default policy.
        """
        self._setup = setup
        self._environment = FleetEnvironment(setup.targets, setup.gateways)
        self.targets = {
            host.name: FleetTarget(SLOTS, 1.0 if index else setup.slowness)
            for index, host in enumerate(self._environment.targets("", ""))
        }
        self.transports: list[FleetTransport] = []
        self.records: list[RequestRecord] = []
        self._rng = random.Random(setup.seed)
        self._gateways = [
            self._create_gateway(index, host.name, host.zone, make_chooser)
            for index, host in enumerate(self._environment.entry_hosts())
        ]

    async def run(self) -> None:
        """Send all requests and wait for the last verdict."""
        if self._setup.cold_target is not None:
            cold_target = list(self.targets.values())[self._setup.cold_target]
            cold_target.begin_cold_start(
                self._setup.cold_seconds, self._setup.cold_slowness
            )
        loop = asyncio.get_running_loop()
        at = loop.time()
        tasks: list[asyncio.Task[None]] = []
        for phase in self._setup.phases:
            end = at + phase.seconds
            while at < end:
                at += self._rng.expovariate(self._setup.capacity * phase.load)
                await asyncio.sleep(at - loop.time())
                tasks.append(asyncio.create_task(self._send_request(len(tasks))))
        await asyncio.gather(*tasks)

    async def _send_request(self, number: int) -> None:
        kind = self._rng.choices(KINDS, KIND_WEIGHTS)[0]
        gateway = self._rng.choice(self._gateways)
        service_seconds = self._rng.expovariate(1.0 / SERVICE_SECONDS)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            self._environment.configuration,
            self._environment.service,
            kind,
            f"request-{number}",
            "",
            now + kind.timeout_seconds,
            str(service_seconds).encode(),
        )
        verdict = await gateway.handle(request)
        seconds = asyncio.get_running_loop().time() - now
        completed = isinstance(verdict, Completed)
        false_refusal = isinstance(verdict, NotRun) and self._has_run(
            request.request_id
        )
        self.records.append(
            RequestRecord(now, kind.name, completed, seconds, false_refusal)
        )

    def _has_run(self, request_id: str) -> bool:
        return any(request_id in target.started_ids for target in self.targets.values())

    def _create_gateway(
        self,
        index: int,
        name: str,
        zone: str,
        make_chooser: Callable[[str, random.Random], Chooser | None],
    ) -> Gateway:
        transport = FleetTransport(self.targets)
        self.transports.append(transport)
        budget = ConnectionBudget(name, self._environment, self._environment)
        rng = random.Random(self._setup.seed * 1000 + index)
        return Gateway(
            TargetPool(self._environment, budget, rng),
            NullRoutes(),
            transport,
            NullLoadRecorder(),
            GatewayMetrics(CollectorRegistry()),
            zone,
            rng,
            make_chooser(zone, rng),
        )


def completed_by_kind(records: list[RequestRecord]) -> dict[str, float]:
    """Return the fraction of completed requests of each kind."""
    request_counts = Counter(record.kind for record in records)
    completed_counts = Counter(record.kind for record in records if record.completed)
    return {
        kind: completed_counts[kind] / request_counts[kind] for kind in request_counts
    }


def percentile_ms(records: list[RequestRecord], percentile: float) -> float:
    """Return a percentile of the latencies of completed requests.

    Args:
        records: The requests.
        percentile: The percentile, from 0 to 100.

    Returns:
        The latency in milliseconds; 0 if no request was completed.
    """
    times = sorted(record.seconds for record in records if record.completed)
    if not times:
        return 0.0
    index = min(int(len(times) * percentile / 100.0), len(times) - 1)
    return times[index] * 1000.0
