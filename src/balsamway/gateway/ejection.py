"""Eject failing targets for a limited time, but never too many at once."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState

logger = logging.getLogger(__name__)

MAX_EJECTED_DIVISOR = 3
"""At most one target in this many may be ejected at once."""
INITIAL_EJECTION_SECONDS = 1.0
"""The first ejection of a target. It doubles with each further one."""
MAX_EJECTION_SECONDS = 30.0
"""The maximum duration of an ejection."""
SLOW_RATIO = 5.0
"""The ratio of latency to the service's median above which a target fails."""


def without_ejected(states: Sequence[TargetState]) -> list[TargetState]:
    """Eject failing targets, and return the ones that are not ejected.

    At most a third of the targets is ejected at the same time.

    Args:
        states: All targets of a service that this gateway may use.

    Returns:
        The targets to choose from, at least one if any was given.
    """
    now = asyncio.get_running_loop().time()
    remaining = len(states) // MAX_EJECTED_DIVISOR
    remaining -= sum(state.ejected_until > now for state in states)
    median = _median_latency(states)
    for state in states:
        if remaining <= 0:
            break
        if state.ejected_until <= now and _is_outlier(state, median):
            _eject(state, now)
            remaining -= 1
    return [state for state in states if state.ejected_until <= now]


def _is_outlier(state: TargetState, median: float) -> bool:
    return state.is_failing or state.latency > SLOW_RATIO * median > 0


def _eject(state: TargetState, now: float) -> None:
    seconds = INITIAL_EJECTION_SECONDS * 2 ** min(state.ejections, 8)
    state.eject(now + min(MAX_EJECTION_SECONDS, seconds))
    logger.warning("target-ejected", extra={"target": state.name})


def _median_latency(states: Sequence[TargetState]) -> float:
    latencies = sorted(state.latency for state in states if state.latency)
    return latencies[len(latencies) // 2] if latencies else 0.0
