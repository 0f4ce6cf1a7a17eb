"""Runs an experiment on an event loop whose time skips all waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import looptime

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


def run_on_paused_clock(coroutine: Coroutine[object, object, T]) -> T:
    """Run a coroutine to its end on a new event loop with simulated time.

    Args:
        coroutine: The coroutine to run.

    Returns:
        The coroutine's result.
    """
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
