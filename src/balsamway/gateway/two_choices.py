"""Choose the less loaded of two targets drawn at random."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState

MIN_LATENCY_SECONDS = 0.0001
"""The minimum latency that is used to compare loads.

It keeps the number of requests in flight relevant if no latency is known."""


class TwoChoices:
    """Choose the less loaded of two targets drawn at random.

    The load is the expected time to a response: the requests of this gateway
    in flight, including this one, times the average latency. If the latency
    of one target is unknown, that of the other is used. During its slow start,
    a target takes part in the choice only with the probability of its slow
    start fraction.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose the less loaded of two targets.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        now = asyncio.get_running_loop().time()
        ready = [state for state in candidates if self._is_ready(state, now)]
        candidates = ready or candidates
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return (
            first
            if _expected_seconds(first, second) <= _expected_seconds(second, first)
            else second
        )

    def _is_ready(self, state: TargetState, now: float) -> bool:
        slow_start_fraction = state.slow_start_fraction(now)
        return slow_start_fraction >= 1.0 or self._rng.random() < slow_start_fraction


def _expected_seconds(state: TargetState, other: TargetState) -> float:
    latency = state.latency or other.latency
    return (state.in_flight + 1) * max(MIN_LATENCY_SECONDS, latency)
