"""Simulates a target with slots, a bounded queue and a cold start."""

from __future__ import annotations

import asyncio

MAX_QUEUED_REQUESTS = 32
"""How many requests wait for a slot of a target before it sheds load."""


class FleetTarget:
    """Runs a bounded number of requests at once, in event loop time."""

    def __init__(self, slots: int, slowness: float = 1.0) -> None:
        """Create an idle target.

        Args:
            slots: The number of requests that run at once.
            slowness: The service time of a request over its nominal one.
        """
        self._slots = asyncio.Semaphore(slots)
        self._slowness = slowness
        self._waiting = 0
        self._cold_until = 0.0
        self._cold_slowness = 1.0
        self.busy_seconds = 0.0
        self.started_ids: set[str] = set()
        """The ids of the requests that started to run."""

    @property
    def is_full(self) -> bool:
        """Whether the target sheds the next request."""
        return self._waiting >= MAX_QUEUED_REQUESTS

    def begin_cold_start(self, until: float, slowness: float) -> None:
        """Start a cold start.

        Args:
            until: When it ends, in seconds of event loop time.
            slowness: The service time of a request until then over its
                nominal one.
        """
        self._cold_until = until
        self._cold_slowness = slowness

    async def run(self, request_id: str, nominal_seconds: float) -> None:
        """Wait for a slot and run a request.

        Args:
            request_id: The id of the request.
            nominal_seconds: Its service time at a warm target of normal speed.
        """
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self.started_ids.add(request_id)
            seconds = nominal_seconds * self._current_slowness()
            self.busy_seconds += seconds
            await asyncio.sleep(seconds)
        finally:
            self._slots.release()

    def _current_slowness(self) -> float:
        now = asyncio.get_running_loop().time()
        cold = self._cold_slowness if now < self._cold_until else 1.0
        return self._slowness * cold
