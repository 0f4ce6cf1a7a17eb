from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from typing import Any

from balsamway.servers.orders import (
    GrantOrder,
    OrderLost,
    OrderResult,
    ReleaseOrder,
    SurveyOrder,
)
from balsamway.store import Host
from tests.fakes.fate import Fate
from tests.fakes.faults import Faults
from tests.fakes.ownership_interval import OwnershipInterval
from tests.fakes.server import FakeServer
from tests.fakes.step import Step


class FakeServers:
    """All servers; `control` gives the ServerControl of an entry host."""

    def __init__(self, faults: Faults, latency_seconds: float = 0.001) -> None:
        self.faults = faults
        self.latency_seconds = latency_seconds
        self.servers: dict[str, FakeServer] = {}
        self.cut: set[tuple[str, str]] = set()
        """Pairs of entry host and server that cannot reach each other."""
        self.down_hosts: set[str] = set()
        """Entry hosts whose orders no longer leave."""
        self.late: set[asyncio.Task[Any]] = set()
        self.orders = 0

    def add(self, server: FakeServer) -> FakeServer:
        self.servers[server.name] = server
        return server

    def control(self, host: str) -> FakeControl:
        return FakeControl(self, host)

    def intervals(self) -> list[OwnershipInterval]:
        return [one for server in self.servers.values() for one in server.intervals()]


class FakeControl:
    """One entry host's ServerControl."""

    def __init__(self, servers: FakeServers, host: str) -> None:
        self._servers = servers
        self._host = host

    async def grant(
        self, server: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        async def act(target: FakeServer) -> OrderResult:
            return target.grant(order)

        return await self._carry("grant", server, order, act, timeout_seconds)

    async def release(
        self, server: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        async def act(target: FakeServer) -> OrderResult:
            return await target.release(order)

        return await self._carry("release", server, order, act, timeout_seconds)

    async def survey(
        self, server: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        async def act(target: FakeServer) -> OrderResult:
            return target.survey(order)

        return await self._carry("survey", server, order, act, timeout_seconds)

    async def _carry(
        self,
        operation: str,
        server: Host,
        order: Any,
        act: Callable[[FakeServer], Awaitable[OrderResult]],
        timeout: float,
    ) -> OrderResult:
        work = self._pass(operation, server.name, order, act)
        try:
            return await asyncio.wait_for(work, timeout)
        except TimeoutError:
            return OrderLost("timeout")

    async def _pass(
        self,
        operation: str,
        name: str,
        order: Any,
        act: Callable[[FakeServer], Awaitable[OrderResult]],
    ) -> OrderResult:
        fate = await self._servers.faults.reach(
            Step("servers", operation, self._host, name, order)
        )
        if fate in (Fate.APPLY_LATE, Fate.DOUBLE):
            self._later(name, act)
        if fate in (Fate.APPLY_LATE, Fate.DROP):
            await asyncio.sleep(3600)
        # A frozen server still takes the order when it runs again, whether
        # or not the leader waits for the answer.
        answer = await asyncio.shield(self._start(self._deliver(name, act)))
        if fate is Fate.LOSE_ANSWER:
            await asyncio.sleep(3600)
        return answer

    async def _deliver(
        self, name: str, act: Callable[[FakeServer], Awaitable[OrderResult]]
    ) -> OrderResult:
        servers = self._servers
        await asyncio.sleep(servers.latency_seconds)
        target = servers.servers.get(name)
        if target is None or target.lost:
            return OrderLost("connection refused")
        if self._host in servers.down_hosts or (self._host, name) in servers.cut:
            await asyncio.sleep(3600)
        await target.running.wait()
        if target.lost:
            return OrderLost("connection lost")
        servers.orders += 1
        answer = await act(target)
        await asyncio.sleep(servers.latency_seconds)
        if self._host in servers.down_hosts or (self._host, name) in servers.cut:
            await asyncio.sleep(3600)
        return answer

    def _start(self, work: Any) -> asyncio.Task[Any]:
        # Outside the caller's context: a message in flight arrives whatever
        # becomes of its sender.
        task = asyncio.create_task(work, context=contextvars.Context())
        self._servers.late.add(task)
        task.add_done_callback(self._servers.late.discard)
        return task

    def _later(
        self, name: str, act: Callable[[FakeServer], Awaitable[OrderResult]]
    ) -> None:
        async def deliver() -> None:
            await asyncio.sleep(self._servers.faults.late_seconds)
            await self._deliver(name, act)

        self._start(deliver())
