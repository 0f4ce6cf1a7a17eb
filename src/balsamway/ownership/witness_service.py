"""This host's role as a witness of shard leaders.

A leader asks its witnesses for promises: time-limited votes to support no
other leader.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.ownership.messages import (
    AdoptAnswer,
    AdoptRequest,
    LeaderQuery,
    LeaderQueryAnswer,
    PromiseAnswer,
    PromiseRequest,
    Resignation,
)
from balsamway.ownership.witness_state import WitnessState
from balsamway.slices import ShardId, Witness

if TYPE_CHECKING:
    from balsamway.peers.peers import Peers
    from balsamway.settings import Timing

logger = logging.getLogger(__name__)


class WitnessService(mode.Service):
    """Gives time-limited promises to leaders and adopts higher leader epochs.

    Promises are kept in memory only, so a restarted daemon counts as another
    witness. It adopts no epoch until every promise that its previous
    incarnation may have given has expired.

    Args:
        witness: This host and the incarnation of its daemon.
        peers: The other entry hosts.
        timing: The durations of the deployment.
    """

    def __init__(self, witness: Witness, peers: Peers, timing: Timing) -> None:
        super().__init__()
        self._own_witness = witness
        self._timing = timing
        self._started_at = 0.0
        self._states: dict[ShardId, WitnessState] = {}
        self._peers = peers

    @property
    def own_witness(self) -> Witness:
        """This host and the incarnation of its daemon."""
        return self._own_witness

    @property
    def _clock_rate_factor(self) -> float:
        return 1 + self._timing.clock_rate_allowance

    async def on_start(self) -> None:
        """Note the start time, and register the handlers for messages."""
        self._started_at = now()
        self._peers.handle(PromiseRequest, self._on_promise_request)
        self._peers.handle(AdoptRequest, self._on_adopt_request)
        self._peers.handle(LeaderQuery, self._on_leader_query)
        self._peers.handle(Resignation, self._on_resignation)

    def dump(self) -> dict[str, object]:
        """Describe the promises for the state dump.

        Returns:
            The adopted epoch and the remaining seconds of the promise, by
            shard.
        """
        shards = {
            str(shard): {
                "epoch": state.epoch,
                "leader": state.leader.host if state.leader else None,
                "promise_seconds": max(0.0, state.promised_until - now()),
            }
            for shard, state in self._states.items()
        }
        return {"incarnation": self._own_witness.incarnation, "shards": shards}

    async def _on_promise_request(
        self, sender: str, request: PromiseRequest
    ) -> PromiseAnswer:
        state = self._states.get(request.shard) or WitnessState()
        reason = self._refusal_reason(request, state)
        if reason:
            return self._promise_answer(False, state, reason)
        duration = request.duration_seconds * self._clock_rate_factor
        state.promised_until = max(state.promised_until, now() + duration)
        return self._promise_answer(True, state)

    def _refusal_reason(self, request: PromiseRequest, state: WitnessState) -> str:
        if request.witness != self._own_witness:
            return "other incarnation"
        if (request.epoch, request.leader) != (state.epoch, state.leader):
            return "epoch not adopted"
        if request.duration_seconds > self._timing.promise:
            return "duration too long"
        return ""

    def _promise_answer(
        self, given: bool, state: WitnessState, reason: str = ""
    ) -> PromiseAnswer:
        incarnation = self._own_witness.incarnation
        return PromiseAnswer(given, state.epoch, incarnation, reason)

    async def _on_adopt_request(
        self, sender: str, request: AdoptRequest
    ) -> AdoptAnswer:
        state = self._states.setdefault(request.shard, WitnessState())
        if request.witness != self._own_witness:
            return self._adopt_answer(False, state, "other incarnation")
        if (request.epoch, request.leader) == (state.epoch, state.leader):
            return self._adopt_answer(True, state)
        if request.epoch <= state.epoch:
            return self._adopt_answer(False, state, "higher epoch adopted")
        if self._remaining_promise_seconds(state) > 0:
            return self._adopt_answer(False, state, "promise running")
        state.epoch = request.epoch
        state.leader = request.leader
        logger.info(
            "epoch adopted",
            extra={"shard": str(request.shard), "epoch": request.epoch},
        )
        return self._adopt_answer(True, state)

    def _adopt_answer(
        self, adopted: bool, state: WitnessState, reason: str = ""
    ) -> AdoptAnswer:
        wait_seconds = 0.0 if adopted else self._remaining_promise_seconds(state)
        incarnation = self._own_witness.incarnation
        return AdoptAnswer(adopted, state.epoch, incarnation, wait_seconds, reason)

    async def _on_leader_query(
        self, sender: str, query: LeaderQuery
    ) -> LeaderQueryAnswer:
        state = self._states.get(query.shard) or WitnessState()
        return LeaderQueryAnswer(
            state.epoch,
            self._remaining_promise_seconds(state),
            self._own_witness.incarnation,
        )

    async def _on_resignation(self, sender: str, resignation: Resignation) -> None:
        state = self._states.get(resignation.shard)
        if state is None:
            return
        if (resignation.epoch, resignation.leader) != (state.epoch, state.leader):
            return
        # The epoch stays adopted, but a late request for a promise to the
        # leader that resigned is refused.
        state.leader = None
        state.promised_until = now()

    def _remaining_promise_seconds(self, state: WitnessState) -> float:
        # The previous incarnation may have given a promise just before this
        # start.
        previous_promise_until = (
            self._started_at + self._timing.promise * self._clock_rate_factor
        )
        return max(0.0, max(state.promised_until, previous_promise_until) - now())
