"""Stops and resumes all processing of a stand-in."""

from __future__ import annotations

import asyncio


class Pause:
    """A point that nothing passes while processing stands still."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_set(self) -> bool:
        """Whether processing stands still."""
        return not self._running.is_set()

    def set(self, frozen: bool) -> None:
        """Stops or resumes processing.

        Args:
            frozen: Whether to stop.
        """
        if frozen:
            self._running.clear()
        else:
            self._running.set()

    async def wait(self) -> None:
        """Waits until processing goes on."""
        await self._running.wait()
