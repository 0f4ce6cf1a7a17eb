"""Reads the runtime's clock."""

from __future__ import annotations

import asyncio


def now() -> float:
    """Reads the clock of the running loop.

    Returns:
        Seconds since an arbitrary moment.
    """
    return asyncio.get_running_loop().time()
