"""Leaves failing targets out for a while, but never too many."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState

logger = logging.getLogger(__name__)

SHARE_AT_MOST = 3
"""One target in this many may be left out."""
EJECTION_SECONDS = 1.0
EJECTION_AT_MOST_SECONDS = 30.0
SLOW_RATIO = 5.0
"""The latency, over the median of its service, that counts as failing."""


def usable(states: Sequence[TargetState]) -> list[TargetState]:
    """Leaves out the targets that fail, at most a third of them.

    Args:
        states: All targets of a service that this gateway may use.

    Returns:
        The targets to choose from, at least one if any was given.
    """
    now = asyncio.get_running_loop().time()
    room = len(states) // SHARE_AT_MOST
    room -= sum(state.ejected_until > now for state in states)
    median = _median_latency(states)
    for state in states:
        if room <= 0:
            break
        if state.ejected_until <= now and _is_outlier(state, median):
            _eject(state, now)
            room -= 1
    return [state for state in states if state.ejected_until <= now]


def _is_outlier(state: TargetState, median: float) -> bool:
    return state.is_failing or state.latency > SLOW_RATIO * median > 0


def _eject(state: TargetState, now: float) -> None:
    seconds = EJECTION_SECONDS * 2 ** min(state.ejections, 8)
    state.eject(now + min(EJECTION_AT_MOST_SECONDS, seconds))
    logger.warning("target-ejected", extra={"target": state.name})


def _median_latency(states: Sequence[TargetState]) -> float:
    latencies = sorted(state.latency for state in states if state.latency)
    return latencies[len(latencies) // 2] if latencies else 0.0
