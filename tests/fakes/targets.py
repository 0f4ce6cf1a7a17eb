from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from typing import Any

from balsamway.store import Host
from balsamway.targets.orders import (
    GrantOrder,
    OrderLost,
    OrderResult,
    ReleaseOrder,
    SurveyOrder,
)
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.faults import Faults
from tests.fakes.ownership_interval import OwnershipInterval
from tests.fakes.step import Step
from tests.fakes.target import FakeTarget


class FakeTargets:
    """All targets; `control` returns the `TargetControl` of an entry host."""

    def __init__(self, faults: Faults, latency_seconds: float = 0.001) -> None:
        self.faults = faults
        self.latency_seconds = latency_seconds
        self.targets: dict[str, FakeTarget] = {}
        self.cut: set[tuple[str, str]] = set()
        """Pairs of entry host and target that cannot reach each other."""
        self.down_hosts: set[str] = set()
        """Entry hosts whose orders reach no target."""
        self.late: set[asyncio.Task[Any]] = set()
        self.orders = 0

    def add(self, target: FakeTarget) -> FakeTarget:
        self.targets[target.name] = target
        return target

    def control(self, host: str) -> FakeControl:
        return FakeControl(self, host)

    def intervals(self) -> list[OwnershipInterval]:
        return [
            interval
            for target in self.targets.values()
            for interval in target.intervals()
        ]


class FakeControl:
    """The `TargetControl` of one entry host."""

    def __init__(self, targets: FakeTargets, host: str) -> None:
        self._targets = targets
        self._host = host

    async def grant(
        self, target: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        async def execute(target: FakeTarget) -> OrderResult:
            return target.grant(order)

        return await self._send("grant", target, order, execute, timeout_seconds)

    async def release(
        self, target: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        async def execute(target: FakeTarget) -> OrderResult:
            return await target.release(order)

        return await self._send("release", target, order, execute, timeout_seconds)

    async def survey(
        self, target: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        async def execute(target: FakeTarget) -> OrderResult:
            return target.survey(order)

        return await self._send("survey", target, order, execute, timeout_seconds)

    async def _send(
        self,
        operation: str,
        target: Host,
        order: Any,
        execute: Callable[[FakeTarget], Awaitable[OrderResult]],
        timeout: float,
    ) -> OrderResult:
        coroutine = self._send_with_faults(operation, target.name, order, execute)
        try:
            return await asyncio.wait_for(coroutine, timeout)
        except TimeoutError:
            return OrderLost("timeout")

    async def _send_with_faults(
        self,
        operation: str,
        name: str,
        order: Any,
        execute: Callable[[FakeTarget], Awaitable[OrderResult]],
    ) -> OrderResult:
        outcome = await self._targets.faults.reach(
            Step("targets", operation, self._host, name, order)
        )
        if outcome in (CallOutcome.APPLY_LATE, CallOutcome.DOUBLE):
            self._deliver_later(name, execute)
        if outcome in (CallOutcome.APPLY_LATE, CallOutcome.DROP):
            await asyncio.sleep(3600)
        # A frozen target still executes the order when it runs again, even if
        # the leader no longer waits for the result.
        result = await asyncio.shield(self._start(self._deliver(name, execute)))
        if outcome is CallOutcome.LOSE_ANSWER:
            await asyncio.sleep(3600)
        return result

    async def _deliver(
        self, name: str, execute: Callable[[FakeTarget], Awaitable[OrderResult]]
    ) -> OrderResult:
        targets = self._targets
        await asyncio.sleep(targets.latency_seconds)
        target = targets.targets.get(name)
        if target is None or target.lost:
            return OrderLost("connection refused")
        if self._host in targets.down_hosts or (self._host, name) in targets.cut:
            await asyncio.sleep(3600)
        await target.running.wait()
        if target.lost:
            return OrderLost("connection lost")
        targets.orders += 1
        result = await execute(target)
        await asyncio.sleep(targets.latency_seconds)
        if self._host in targets.down_hosts or (self._host, name) in targets.cut:
            await asyncio.sleep(3600)
        return result

    def _start(self, coroutine: Any) -> asyncio.Task[Any]:
        # Use an empty context: a message in flight arrives even if its sender
        # has ended.
        task = asyncio.create_task(coroutine, context=contextvars.Context())
        self._targets.late.add(task)
        task.add_done_callback(self._targets.late.discard)
        return task

    def _deliver_later(
        self, name: str, execute: Callable[[FakeTarget], Awaitable[OrderResult]]
    ) -> None:
        async def deliver() -> None:
            await asyncio.sleep(self._targets.faults.late_seconds)
            await self._deliver(name, execute)

        self._start(deliver())
