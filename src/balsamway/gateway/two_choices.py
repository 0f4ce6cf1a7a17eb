"""Chooses the less loaded of two servers drawn at random."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.server_state import ServerState

LEAST_LATENCY_SECONDS = 0.0001


class TwoChoices:
    """Chooses the less loaded of two servers drawn at random.

    The load is the work expected before an answer: the requests of this
    gateway, this one included, times the latency, over the ramp of a server
    that has joined. A latency not yet known is taken to be the other's.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses the less loaded of two servers.

        Args:
            candidates: The servers that have room; at least one.

        Returns:
            The server to send to.
        """
        if len(candidates) == 1:
            return candidates[0]
        first = self._rng.randrange(len(candidates))
        second = self._rng.randrange(len(candidates) - 1)
        second += second >= first
        now = asyncio.get_running_loop().time()
        one, other = candidates[first], candidates[second]
        if _cost(one, other, now) <= _cost(other, one, now):
            return one
        return other


def _cost(state: ServerState, beside: ServerState, now: float) -> float:
    latency = state.latency or beside.latency
    work = (state.in_flight + 1) * max(LEAST_LATENCY_SECONDS, latency)
    return work / state.ramp(now)
