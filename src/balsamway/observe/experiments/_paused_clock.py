"""Runs an experiment on a clock that jumps over all waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import looptime

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


def run_on_paused_clock(work: Coroutine[object, object, T]) -> T:
    """Runs a coroutine to its end on an event loop of its own.

    Args:
        work: The coroutine.

    Returns:
        Its result.
    """
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
