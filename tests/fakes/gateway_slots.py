"""A transport to targets with a few slots each, without a network."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason


@dataclass
class GatewaySlots:
    """Targets that each run `slots` requests, queue a few and shed others."""

    slots: int = 3
    queue_limit: int = 6
    run_seconds: float = 0.010
    """Service time of a request on a target that is not slow."""
    slow: dict[str, float] = field(default_factory=dict)
    """By target, the factor on its service time."""
    frozen: set[str] = field(default_factory=set)
    """Targets that never answer."""
    inside: Counter = field(default_factory=Counter)
    """Running and queued requests by target."""
    busy_seconds: Counter = field(default_factory=Counter)
    ran: Counter = field(default_factory=Counter)
    shed: int = 0
    semaphores: dict = field(default_factory=dict)

    def __post_init__(self):
        self.semaphores = defaultdict(lambda: asyncio.Semaphore(self.slots))

    async def send(self, target, request):
        try:
            async with asyncio.timeout(request.timeout_seconds):
                return await self._run(target.name, request)
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)

    async def _run(self, name, request):
        if name in self.frozen:
            await asyncio.sleep(3600)
        if self.inside[name] >= self.slots + self.queue_limit:
            self.shed += 1
            return NotRun(Reason.TARGET_SHED)
        self.inside[name] += 1
        try:
            async with self.semaphores[name]:
                seconds = self.run_seconds * self.slow.get(name, 1.0)
                await asyncio.sleep(seconds)
                self.busy_seconds[name] += seconds
                self.ran[name, request.kind] += 1
        finally:
            self.inside[name] -= 1
        return Completed(200, {}, b"")
