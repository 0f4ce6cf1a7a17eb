from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from tests.fakes.fate import Fate
from tests.fakes.step import Step
from tests.matrix.process import start_outside

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.servers.request import ServerRequest
    from balsamway.store import Host
    from tests.fakes.servers import FakeServers
    from tests.matrix.matrix_server import MatrixServer

NEVER_SECONDS = 3600


class MatrixTransport:
    """One entry host's ServerTransport, with the faults of a connection."""

    def __init__(self, servers: FakeServers, host: str) -> None:
        self._servers = servers
        self._host = host

    async def send(self, server: Host, request: ServerRequest) -> Verdict:
        step = Step("requests", "send", self._host, server.name, request)
        fate = await self._servers.faults.reach(step)
        target = self._servers.servers.get(server.name)
        if target is None or target.lost:
            return NotRun(Reason.CONNECT_FAILED)
        if fate is Fate.DROP:
            return MayHaveRun(Reason.CONNECTION_LOST)
        exchange = start_outside(self._exchange(target, request, fate))
        try:
            async with asyncio.timeout(request.timeout_seconds):
                return await asyncio.shield(exchange)
        except TimeoutError:
            self._close(target, request, exchange)
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            self._close(target, request, exchange)
            raise

    def _close(
        self, target: MatrixServer, request: ServerRequest, exchange: asyncio.Task
    ) -> None:
        if target.is_running(request.request_id) and not self._sees_close(target):
            return
        target.cancel(request.request_id)
        exchange.cancel()

    def _sees_close(self, target: MatrixServer) -> bool:
        return target.running.is_set() and not self._is_cut(target)

    async def _exchange(
        self, target: MatrixServer, request: ServerRequest, fate: Fate
    ) -> Verdict:
        await asyncio.sleep(self._servers.latency_seconds)
        await self._reach(target)
        await target.running.wait()
        refusal = await target.run(request)
        if fate is Fate.LOSE_ANSWER:
            return MayHaveRun(Reason.CONNECTION_LOST)
        if fate is Fate.APPLY_LATE:
            await asyncio.sleep(self._servers.faults.late_seconds)
        await asyncio.sleep(self._servers.latency_seconds)
        await self._reach(target)
        if target.lost:
            return MayHaveRun(Reason.CONNECTION_LOST)
        if refusal:
            return NotRun(Reason(refusal))
        return Completed(200, {}, _answer(request))

    async def _reach(self, target: MatrixServer) -> None:
        if self._is_cut(target):
            await asyncio.sleep(NEVER_SECONDS)

    def _is_cut(self, target: MatrixServer) -> bool:
        servers = self._servers
        cut = (self._host, target.name) in servers.cut
        return cut or self._host in servers.down_hosts


def _answer(request: ServerRequest) -> bytes:
    return msgspec.json.encode({"request_id": request.request_id, "key": request.key})
