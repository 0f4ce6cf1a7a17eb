"""Read the event loop time."""

from __future__ import annotations

import asyncio


def now() -> float:
    """Return the time of the running event loop.

    Returns:
        Seconds since an arbitrary moment; only differences are meaningful.

    Raises:
        RuntimeError: If no event loop is running.
    """
    return asyncio.get_running_loop().time()
