"""An event loop whose clock goes on while the host is suspended."""

from __future__ import annotations

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Reads the clock that counts suspended time.

    The steady clock stands still while a host is suspended, so that a lease
    would seem to last after it has run out.
    """

    def time(self) -> float:
        """Gives the seconds since the host started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
