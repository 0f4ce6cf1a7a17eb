"""Carries requests without owners through real gateways."""

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
from balsamway.observe.experiments.fleet_surroundings import KINDS, FleetSurroundings
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
SERVICE_SECONDS = 0.020
KIND_WEIGHTS = (2, 5, 3)


@dataclass(frozen=True, slots=True)
class FleetPhase:
    """A time of even load."""

    seconds: float
    load: float
    """Requests over what all slots can run."""


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """What all policies of one experiment have in common."""

    phases: tuple[FleetPhase, ...]
    seed: int
    targets: int = 8
    gateways: int = 12
    slowness: float = 1.0
    """Of the first target."""
    cold_target: int | None = None
    """The target that is cold for the first seconds."""
    cold_seconds: float = 5.0
    cold_slowness: float = 4.0

    @property
    def capacity(self) -> float:
        """Requests a second that all slots can run at usual speed."""
        return self.targets * SLOTS / SERVICE_SECONDS


@dataclass(frozen=True, slots=True)
class FleetOutcome:
    """One request and what became of it."""

    at: float
    kind: str
    completed: bool
    seconds: float
    false_refusal: bool
    """Whether it was refused as not run, and did run."""


class NoRoutes:
    """No service of the experiment has owners."""

    async def find(self, shard: ShardId, position: int, deadline: float) -> NoRoute:
        """Finds nothing."""
        return NoRoute(Reason.NO_OWNER)

    def track_attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Is never called."""
        raise NotImplementedError

    def report_refusal(self, route: Route) -> None:
        """Is never called."""


class NoLoad:
    """Counts no load of slices."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Does nothing."""


class FleetRun:
    """One policy on the arrivals of a setup."""

    def __init__(
        self, setup: FleetSetup, chooser: Callable[[str, random.Random], Chooser | None]
    ) -> None:
        """Prepares a run inside a running event loop.

        Args:
            setup: The load and the targets.
            chooser: Makes the chooser of a gateway from its zone; None for the
                gateway's own.
        """
        self._setup = setup
        self._surroundings = FleetSurroundings(setup.targets, setup.gateways)
        self.targets = {
            host.name: FleetTarget(SLOTS, 1.0 if index else setup.slowness)
            for index, host in enumerate(self._surroundings.targets("", ""))
        }
        self.transports: list[FleetTransport] = []
        self.outcomes: list[FleetOutcome] = []
        self._rng = random.Random(setup.seed)
        self._gateways = [
            self._gateway(index, host.name, host.zone, chooser)
            for index, host in enumerate(self._surroundings.entry_hosts())
        ]

    async def run(self) -> None:
        """Carries all requests and waits for the last."""
        if self._setup.cold_target is not None:
            cold = list(self.targets.values())[self._setup.cold_target]
            cold.chill(self._setup.cold_seconds, self._setup.cold_slowness)
        loop = asyncio.get_running_loop()
        at = loop.time()
        tasks: list[asyncio.Task[None]] = []
        for phase in self._setup.phases:
            end = at + phase.seconds
            while at < end:
                at += self._rng.expovariate(self._setup.capacity * phase.load)
                await asyncio.sleep(at - loop.time())
                tasks.append(asyncio.create_task(self._carry(len(tasks))))
        await asyncio.gather(*tasks)

    async def _carry(self, number: int) -> None:
        kind = self._rng.choices(KINDS, KIND_WEIGHTS)[0]
        gateway = self._rng.choice(self._gateways)
        service_seconds = self._rng.expovariate(1.0 / SERVICE_SECONDS)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            self._surroundings.configuration,
            self._surroundings.service,
            kind,
            f"request-{number}",
            "",
            now + kind.timeout_seconds,
            str(service_seconds).encode(),
        )
        verdict = await gateway.handle(request)
        seconds = asyncio.get_running_loop().time() - now
        completed = isinstance(verdict, Completed)
        false = isinstance(verdict, NotRun) and self._has_run(request.request_id)
        self.outcomes.append(FleetOutcome(now, kind.name, completed, seconds, false))

    def _has_run(self, request_id: str) -> bool:
        return any(request_id in target.ran for target in self.targets.values())

    def _gateway(
        self,
        index: int,
        name: str,
        zone: str,
        chooser: Callable[[str, random.Random], Chooser | None],
    ) -> Gateway:
        transport = FleetTransport(self.targets)
        self.transports.append(transport)
        budget = ConnectionBudget(name, self._surroundings, self._surroundings)
        rng = random.Random(self._setup.seed * 1000 + index)
        return Gateway(
            TargetPool(self._surroundings, budget, rng),
            NoRoutes(),
            transport,
            NoLoad(),
            GatewayMetrics(CollectorRegistry()),
            zone,
            rng,
            chooser(zone, rng),
        )


def completed_by_kind(outcomes: list[FleetOutcome]) -> dict[str, float]:
    """Gives the share of completed requests of each kind."""
    asked = Counter(each.kind for each in outcomes)
    done = Counter(each.kind for each in outcomes if each.completed)
    return {kind: done[kind] / asked[kind] for kind in asked}


def percentile_ms(outcomes: list[FleetOutcome], percentile: float) -> float:
    """Gives a percentile of the times of completed requests."""
    times = sorted(each.seconds for each in outcomes if each.completed)
    if not times:
        return 0.0
    index = min(int(len(times) * percentile / 100.0), len(times) - 1)
    return times[index] * 1000.0
