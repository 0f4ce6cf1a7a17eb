"""An event loop whose clock keeps running while the host is suspended."""

from __future__ import annotations

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time includes the time that the host was suspended.

    The monotonic clock stops while a host is suspended. With it, a lease would
    seem to be valid although it expired during the suspension.
    """

    def time(self) -> float:
        """Return the seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
