"""Carries a gateway's attempts to the targets of an experiment."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.observe.experiments.fleet_target import FleetTarget
    from balsamway.outcome import Verdict
    from balsamway.store import Host
    from balsamway.targets.request import TargetRequest

CONNECT_SECONDS = 0.001


class FleetTransport:
    """Connections of one gateway, kept once they are open."""

    def __init__(self, targets: Mapping[str, FleetTarget]) -> None:
        """Creates a transport without connections.

        Args:
            targets: The targets by name.
        """
        self._targets = targets
        self._open: Counter[str] = Counter()
        self._used: Counter[str] = Counter()

    @property
    def opened(self) -> int:
        """How many connections were opened."""
        return self._open.total()

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        """Sends one attempt; its body is its nominal service time."""
        name = target.name
        self._used[name] += 1
        try:
            if self._used[name] > self._open[name]:
                self._open[name] += 1
                await asyncio.sleep(CONNECT_SECONDS)
            return await self._run(self._targets[name], request)
        finally:
            self._used[name] -= 1

    async def _run(self, target: FleetTarget, request: TargetRequest) -> Verdict:
        if target.is_full:
            return NotRun(Reason.TARGET_SHED)
        try:
            async with asyncio.timeout(request.timeout_seconds):
                await target.run(request.request_id, float(request.body))
        except TimeoutError:
            if request.request_id in target.ran:
                return MayHaveRun(Reason.DEADLINE_EXCEEDED)
            return NotRun(Reason.DEADLINE_EXCEEDED)
        return Completed(200, {}, b"")
