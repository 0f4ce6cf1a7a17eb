"""Measures processor time and memory."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 3
LEAST_SECONDS = 0.05


def processor_seconds(work: Callable[[], object]) -> float:
    """Measures what one call costs.

    Args:
        work: Called again and again; it must cost the same each time.

    Returns:
        The processor time of a call, in seconds; the least of a few rounds.
    """
    calls = 1
    while _round(work, calls) < LEAST_SECONDS:
        calls *= 2
    return min(_round(work, calls) for _ in range(ROUNDS)) / calls


def memory_bytes(build: Callable[[], object]) -> int:
    """Measures the memory that a value keeps.

    Args:
        build: Makes the value.

    Returns:
        The bytes allocated and not freed while the value lives.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return after - before


def _round(work: Callable[[], object], calls: int) -> float:
    start = time.process_time()
    for _ in range(calls):
        work()
    return time.process_time() - start
