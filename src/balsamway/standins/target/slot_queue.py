"""The slots of a target and the requests that wait for one."""

from __future__ import annotations

import asyncio


class SlotQueue:
    """A bounded queue, first come first served, for a number of slots."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._semaphore = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0

    @property
    def running(self) -> int:
        """How many slots are taken."""
        return self._running

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return self._waiting >= self._queue_limit

    @property
    def load(self) -> float:
        """Requests in the target for each slot."""
        return (self._running + self._waiting) / self._slots

    async def take(self, timeout: float) -> bool:
        """Waits for a slot.

        Args:
            timeout: The longest time to wait, in seconds.

        Returns:
            Whether a slot was taken; it must then be freed.
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

    def free(self) -> None:
        """Gives a slot back."""
        self._running -= 1
        self._semaphore.release()
