"""Carries a gateway's attempts to the servers of an experiment."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.observe.experiments.fleet_server import FleetServer
    from balsamway.outcome import Verdict
    from balsamway.servers.request import ServerRequest
    from balsamway.store import Host

CONNECT_SECONDS = 0.001


class FleetTransport:
    """Connections of one gateway, kept once they are open."""

    def __init__(self, servers: Mapping[str, FleetServer]) -> None:
        """Creates a transport without connections.

        Args:
            servers: The servers by name.
        """
        self._servers = servers
        self._open: Counter[str] = Counter()
        self._used: Counter[str] = Counter()

    @property
    def opened(self) -> int:
        """How many connections were opened."""
        return self._open.total()

    async def send(self, server: Host, request: ServerRequest) -> Verdict:
        """Sends one attempt; its body is its nominal service time."""
        name = server.name
        self._used[name] += 1
        try:
            if self._used[name] > self._open[name]:
                self._open[name] += 1
                await asyncio.sleep(CONNECT_SECONDS)
            return await self._run(self._servers[name], request)
        finally:
            self._used[name] -= 1

    async def _run(self, server: FleetServer, request: ServerRequest) -> Verdict:
        if server.is_full:
            return NotRun(Reason.SERVER_SHED)
        try:
            async with asyncio.timeout(request.timeout_seconds):
                await server.run(request.request_id, float(request.body))
        except TimeoutError:
            if request.request_id in server.ran:
                return MayHaveRun(Reason.DEADLINE_EXCEEDED)
            return NotRun(Reason.DEADLINE_EXCEEDED)
        return Completed(200, {}, b"")
