"""A target with slots, a bounded queue and a cold start."""

from __future__ import annotations

import asyncio

QUEUE_AT_MOST = 32


class FleetTarget:
    """Runs requests on the runtime's clock, a few at a time."""

    def __init__(self, slots: int, slowness: float = 1.0) -> None:
        """Creates an idle target.

        Args:
            slots: How many requests it runs at once.
            slowness: What a request takes, over its nominal time.
        """
        self._slots = asyncio.Semaphore(slots)
        self._slowness = slowness
        self._waiting = 0
        self._cold_until = 0.0
        self._cold_slowness = 1.0
        self.busy_seconds = 0.0
        self.ran: set[str] = set()
        """The ids of the requests that began to run."""

    @property
    def is_full(self) -> bool:
        """Whether it sheds what comes next."""
        return self._waiting >= QUEUE_AT_MOST

    def chill(self, until: float, slowness: float) -> None:
        """Begins a cold start.

        Args:
            until: Its end, by the runtime's clock.
            slowness: What a request takes meanwhile, over its nominal time.
        """
        self._cold_until = until
        self._cold_slowness = slowness

    async def run(self, request_id: str, nominal_seconds: float) -> None:
        """Waits for a slot and runs a request.

        Args:
            request_id: The request.
            nominal_seconds: What it takes on a warm target of usual speed.
        """
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self.ran.add(request_id)
            seconds = nominal_seconds * self._now_slowness()
            self.busy_seconds += seconds
            await asyncio.sleep(seconds)
        finally:
            self._slots.release()

    def _now_slowness(self) -> float:
        now = asyncio.get_running_loop().time()
        cold = self._cold_slowness if now < self._cold_until else 1.0
        return self._slowness * cold
