"""Replacement of lost witnesses of a shard."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.messages import AdoptAnswer, AdoptRequest
from balsamway.ownership.record_writer import WriteOutcome
from balsamway.ownership.roster_choice import MAX_ROSTER_SIZE, choose_roster

if TYPE_CHECKING:
    from balsamway.ownership.promise_keeper import PromiseKeeper
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import ShardRecord, Witness

logger = logging.getLogger(__name__)

WRITE_TIMEOUT_SECONDS = 1.0
"""How long to try to write a changed roster."""
MAX_PROMISE_DURATIONS_WITHOUT_PROMISE = 2
"""How many promise durations without a promise make a witness lost."""


class RosterMaintenance:
    """Keeps the roster of a shard full of witnesses that give promises.

    Only the leader changes the roster, one witness at a time, through the
    store. A new witness has adopted the leader epoch and given a promise
    before it counts, so that no change of the roster ends the authority.

    Args:
        context: The leader's components.
        promises: Requests promises from witnesses.
    """

    def __init__(self, context: ShardContext, promises: PromiseKeeper) -> None:
        self._context = context
        self._promises = promises
        self._started_at = now()

    async def repair(self) -> None:
        """Replace one lost witness, or add missing ones."""
        roster = self._context.state.record.roster
        lost = [witness for witness in roster if self._is_lost(witness)]
        wanted = self._wanted_roster(roster, lost)
        if wanted == roster or not await self._have_new_witnesses_adopt(wanted, roster):
            return

        def change(record: ShardRecord) -> ShardRecord:
            return replace(record, roster=wanted)

        give_up_at = now() + WRITE_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        if outcome is WriteOutcome.WRITTEN:
            logger.info(
                "roster changed",
                extra={
                    "shard": str(self._context.state.record.shard),
                    "roster": [witness.host for witness in wanted],
                },
            )

    def _is_lost(self, witness: Witness) -> bool:
        if witness in self._promises.restarted_witnesses:
            return True
        max_silence = (
            MAX_PROMISE_DURATIONS_WITHOUT_PROMISE * self._context.cluster.timing.promise
        )
        last = max(
            self._started_at, self._context.authority.promise_expires_at(witness)
        )
        return now() > last + max_silence

    def _wanted_roster(
        self, roster: tuple[Witness, ...], lost: list[Witness]
    ) -> tuple[Witness, ...]:
        live = self._context.cluster.directory.live_witnesses()
        lost_hosts = {witness.host for witness in lost}
        candidates = [
            witness
            for witness in live
            if witness not in lost and self._can_join(witness, lost_hosts)
        ]
        if lost:
            return self._with_one_replaced(roster, lost[0], candidates)
        if len(roster) >= MAX_ROSTER_SIZE:
            return roster
        return self._choose(candidates, roster)

    def _can_join(self, witness: Witness, lost_hosts: set[str]) -> bool:
        restarted = {other.host for other in self._promises.restarted_witnesses}
        return witness.host not in lost_hosts or witness.host in restarted

    def _with_one_replaced(
        self,
        roster: tuple[Witness, ...],
        lost: Witness,
        candidates: list[Witness],
    ) -> tuple[Witness, ...]:
        rest = tuple(witness for witness in roster if witness != lost)
        hosts = {witness.host for witness in rest}
        for witness in self._choose(
            [candidate for candidate in candidates if candidate.host not in hosts], ()
        ):
            return (*rest, witness)
        return roster

    def _choose(
        self, witnesses: list[Witness], keep: tuple[Witness, ...]
    ) -> tuple[Witness, ...]:
        cluster = self._context.cluster
        shard = self._context.state.record.shard
        return choose_roster(witnesses, cluster.zones, shard, keep)

    async def _have_new_witnesses_adopt(
        self, wanted: tuple[Witness, ...], roster: tuple[Witness, ...]
    ) -> bool:
        for witness in wanted:
            if witness not in roster and not await self._have_adopt(witness):
                return False
        return True

    async def _have_adopt(self, witness: Witness) -> bool:
        cluster = self._context.cluster
        record = self._context.state.record
        if not self._context.authority.is_valid:
            return False
        request = AdoptRequest(record.shard, record.leader_epoch, cluster.me, witness)
        answer = await cluster.peers.call(witness.host, request, cluster.timing.renewal)
        if not isinstance(answer, AdoptAnswer) or not answer.adopted:
            return False
        return await self._promises.request_promise(witness)
