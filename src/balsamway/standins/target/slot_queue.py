"""Limits how many requests a target runs and queues."""

from __future__ import annotations

import asyncio


class SlotQueue:
    """A bounded first-in, first-out queue in front of a number of slots.

    Args:
        slots: How many requests run at the same time.
        queue_limit: How many requests may wait for a slot.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._semaphore = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0

    @property
    def running(self) -> int:
        """The number of slots in use."""
        return self._running

    @property
    def is_full(self) -> bool:
        """Whether the queue has no room for a further request."""
        return self._waiting >= self._queue_limit

    @property
    def load(self) -> float:
        """The number of running and waiting requests per slot."""
        return (self._running + self._waiting) / self._slots

    async def acquire(self, timeout: float) -> bool:
        """Wait for a slot.

        Args:
            timeout: The maximum time to wait, in seconds.

        Returns:
            Whether a slot was acquired; the caller must then release it.
        """
        self._waiting += 1
        try:
            async with asyncio.timeout(timeout):
                await self._semaphore.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        self._running += 1
        return True

    def release(self) -> None:
        """Release an acquired slot."""
        self._running -= 1
        self._semaphore.release()
