"""Chooses the less loaded of two targets drawn at random."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState

LEAST_LATENCY_SECONDS = 0.0001


class TwoChoices:
    """Chooses the less loaded of two targets drawn at random.

    The load is the work expected before an answer: the requests of this
    gateway, this one included, times the latency. A latency not yet known is
    taken to be the other's. A target that has joined is passed over as often
    as its ramp says.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Chooses the less loaded of two targets.

        Args:
            candidates: The targets that have room; at least one.

        Returns:
            The target to send to.
        """
        now = asyncio.get_running_loop().time()
        ready = [state for state in candidates if self._is_ready(state, now)]
        candidates = ready or candidates
        if len(candidates) == 1:
            return candidates[0]
        one, other = self._rng.sample(candidates, 2)
        return one if _work(one, other) <= _work(other, one) else other

    def _is_ready(self, state: TargetState, now: float) -> bool:
        ramp = state.ramp(now)
        return ramp >= 1.0 or self._rng.random() < ramp


def _work(state: TargetState, beside: TargetState) -> float:
    latency = state.latency or beside.latency
    return (state.in_flight + 1) * max(LEAST_LATENCY_SECONDS, latency)
