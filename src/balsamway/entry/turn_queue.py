"""Lets one connection at a time continue to parse what it received."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TURN_BYTES = 64 << 10
"""Bounds the work of one turn, counted in bytes of ordinary heads. One head
of 4,000 lines reaches it, and so do some 1,600 chunks of 1 byte. Either takes
a few milliseconds."""


class TurnQueue:
    """Runs waiting functions, in each iteration of the event loop a few.

    Connections with much to parse thus share one turn, and others are served
    in between, however many there are. What is given up for lack of memory is
    freed in between, too.
    """

    def __init__(self) -> None:
        """Create a queue in which nothing waits."""
        self._waiting: collections.deque[Callable[[], int]] = collections.deque()
        self._is_scheduled = False

    def add(self, function: Callable[[], int]) -> None:
        """Let a function run in a later iteration.

        Args:
            function: Runs once, after those that wait already. It returns
                the bytes that its work counts as.
        """
        self._waiting.append(function)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        work_bytes = 0
        # A function that adds itself again waits for another turn.
        left = len(self._waiting)
        try:
            while left and work_bytes < MAX_TURN_BYTES:
                left -= 1
                work_bytes += self._waiting.popleft()()
        finally:
            self._schedule()
