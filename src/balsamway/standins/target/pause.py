"""Suspends and resumes all processing of a stand-in."""

from __future__ import annotations

import asyncio


class Pause:
    """A gate at which tasks wait while processing is suspended."""

    def __init__(self) -> None:
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def is_frozen(self) -> bool:
        """Whether processing is suspended."""
        return not self._resumed.is_set()

    def set_frozen(self, frozen: bool) -> None:
        """Suspend or resume processing.

        Args:
            frozen: Whether to suspend processing.
        """
        if frozen:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def wait(self) -> None:
        """Wait until processing is not suspended."""
        await self._resumed.wait()
