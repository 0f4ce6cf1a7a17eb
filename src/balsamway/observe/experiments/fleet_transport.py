"""Sends a gateway's attempts to simulated targets."""

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
"""How long it takes to open a connection."""


class FleetTransport:
    """The connections of one gateway, which stay open for reuse."""

    def __init__(self, targets: Mapping[str, FleetTarget]) -> None:
        """Create a transport without open connections.

        Args:
            targets: The simulated targets by name.
        """
        self._targets = targets
        self._open: Counter[str] = Counter()
        self._in_use: Counter[str] = Counter()

    @property
    def opened(self) -> int:
        """The number of connections opened so far."""
        return self._open.total()

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        """Send one attempt to a target.

        Args:
            target: The target.
            request: The request; its body is its nominal service time in
                seconds.

        Returns:
            What is known of the request.
        """
        name = target.name
        self._in_use[name] += 1
        try:
            if self._in_use[name] > self._open[name]:
                self._open[name] += 1
                await asyncio.sleep(CONNECT_SECONDS)
            return await self._run(self._targets[name], request)
        finally:
            self._in_use[name] -= 1

    async def _run(self, target: FleetTarget, request: TargetRequest) -> Verdict:
        if target.is_full:
            return NotRun(Reason.TARGET_SHED)
        try:
            async with asyncio.timeout(request.timeout_seconds):
                await target.run(request.request_id, float(request.body))
        except TimeoutError:
            if request.request_id in target.started_ids:
                return MayHaveRun(Reason.DEADLINE_EXCEEDED)
            return NotRun(Reason.DEADLINE_EXCEEDED)
        return Completed(200, {}, b"")
