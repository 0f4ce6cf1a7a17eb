"""Answers leaders that ask this host to support no other claim."""

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
    """Gives promises, each bounded in time, and adopts higher epochs.

    Promises live in memory only, so a restarted daemon counts as another
    witness. It adopts nothing until a promise that its forerunner may have
    given has run out.

    Args:
        witness: This run of this host's daemon.
        peers: The other entry hosts.
        timing: The durations of the deployment.
    """

    def __init__(self, witness: Witness, peers: Peers, timing: Timing) -> None:
        super().__init__()
        self._witness = witness
        self._timing = timing
        self._started_at = 0.0
        self._states: dict[ShardId, WitnessState] = {}
        self._peers = peers

    @property
    def witness(self) -> Witness:
        """This run of this host's daemon."""
        return self._witness

    @property
    def _allowance(self) -> float:
        return 1 + self._timing.clock_rate_allowance

    async def on_start(self) -> None:
        """Starts the wait for forgotten promises, and answers messages."""
        self._started_at = now()
        self._peers.register_handler(PromiseRequest, self._on_promise_request)
        self._peers.register_handler(AdoptRequest, self._on_adopt_request)
        self._peers.register_handler(LeaderQuery, self._on_leader_query)
        self._peers.register_handler(Resignation, self._on_resignation)

    def dump(self) -> dict[str, object]:
        """Describes the promises for the state dump.

        Returns:
            The adopted epoch and the time left of the promise, by shard.
        """
        shards = {
            str(shard): {
                "epoch": state.epoch,
                "leader": state.leader.host if state.leader else None,
                "promise_seconds": max(0.0, state.promised_until - now()),
            }
            for shard, state in self._states.items()
        }
        return {"incarnation": self._witness.incarnation, "shards": shards}

    async def _on_promise_request(
        self, sender: str, request: PromiseRequest
    ) -> PromiseAnswer:
        state = self._states.get(request.shard) or WitnessState()
        refusal = self._promise_refusal(request, state)
        if refusal:
            return self._promise_answer(False, state, refusal)
        duration = request.duration_seconds * self._allowance
        state.promised_until = max(state.promised_until, now() + duration)
        return self._promise_answer(True, state)

    def _promise_refusal(self, request: PromiseRequest, state: WitnessState) -> str:
        if request.witness != self._witness:
            return "other incarnation"
        if (request.epoch, request.leader) != (state.epoch, state.leader):
            return "epoch not adopted"
        if request.duration_seconds > self._timing.promise:
            return "duration too long"
        return ""

    def _promise_answer(
        self, given: bool, state: WitnessState, reason: str = ""
    ) -> PromiseAnswer:
        incarnation = self._witness.incarnation
        return PromiseAnswer(given, state.epoch, incarnation, reason)

    async def _on_adopt_request(
        self, sender: str, request: AdoptRequest
    ) -> AdoptAnswer:
        state = self._states.setdefault(request.shard, WitnessState())
        if request.witness != self._witness:
            return self._adopt_answer(False, state, "other incarnation")
        if (request.epoch, request.leader) == (state.epoch, state.leader):
            return self._adopt_answer(True, state)
        if request.epoch <= state.epoch:
            return self._adopt_answer(False, state, "higher epoch adopted")
        if self._promise_seconds(state) > 0:
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
        wait = 0.0 if adopted else self._promise_seconds(state)
        incarnation = self._witness.incarnation
        return AdoptAnswer(adopted, state.epoch, incarnation, wait, reason)

    async def _on_leader_query(
        self, sender: str, query: LeaderQuery
    ) -> LeaderQueryAnswer:
        state = self._states.get(query.shard) or WitnessState()
        return LeaderQueryAnswer(
            state.epoch, self._promise_seconds(state), self._witness.incarnation
        )

    async def _on_resignation(self, sender: str, resignation: Resignation) -> None:
        state = self._states.get(resignation.shard)
        if state is None:
            return
        if (resignation.epoch, resignation.leader) != (state.epoch, state.leader):
            return
        # The epoch stays adopted; a late request of it gets no promise.
        state.leader = None
        state.promised_until = now()

    def _promise_seconds(self, state: WitnessState) -> float:
        forgotten_until = self._started_at + self._timing.promise * self._allowance
        return max(0.0, max(state.promised_until, forgotten_until) - now())
