"""Replaces lost witnesses of a shard."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.messages import AdoptAnswer, AdoptRequest
from balsamway.ownership.record_writer import WriteOutcome
from balsamway.ownership.roster_choice import ROSTER_SIZE, choose_roster

if TYPE_CHECKING:
    from balsamway.ownership.promise_renewer import PromiseRenewer
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import ShardRecord, Witness

logger = logging.getLogger(__name__)

WRITE_TIMEOUT_SECONDS = 1.0
SILENT_PROMISES = 2
"""For how many durations of a promise a witness may give none."""


class Roster:
    """Keeps the roster of a shard full of witnesses that promise.

    Only the leader changes the roster, one witness at a time, through the
    store. The next witness has adopted the leader's epoch and promises before
    it counts, so that no change of the roster ends authority.

    Args:
        context: The leader's parts.
        promises: Where witnesses are asked for their promises.
    """

    def __init__(self, context: ShardContext, promises: PromiseRenewer) -> None:
        self._context = context
        self._promises = promises
        self._since = now()

    async def mend(self) -> None:
        """Replaces one lost witness, or adds missing ones."""
        roster = self._context.state.record.roster
        lost = [one for one in roster if self._is_lost(one)]
        wanted = self._wanted(roster, lost)
        if wanted == roster or not await self._adopted(wanted, roster):
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
                    "roster": [one.host for one in wanted],
                },
            )

    def _is_lost(self, witness: Witness) -> bool:
        if witness in self._promises.restarted:
            return True
        longest = SILENT_PROMISES * self._context.host_context.timing.promise
        last = max(self._since, self._context.authority.promise_end(witness))
        return now() > last + longest

    def _wanted(
        self, roster: tuple[Witness, ...], lost: list[Witness]
    ) -> tuple[Witness, ...]:
        live = self._context.host_context.directory.live_witnesses()
        lost_hosts = {one.host for one in lost}
        fresh = [
            one for one in live if one not in lost and self._may_serve(one, lost_hosts)
        ]
        if lost:
            return self._with_one_replaced(roster, lost[0], fresh)
        if len(roster) >= ROSTER_SIZE:
            return roster
        return self._chosen(fresh, roster)

    def _may_serve(self, witness: Witness, lost_hosts: set[str]) -> bool:
        restarted = {one.host for one in self._promises.restarted}
        return witness.host not in lost_hosts or witness.host in restarted

    def _with_one_replaced(
        self, roster: tuple[Witness, ...], lost: Witness, fresh: list[Witness]
    ) -> tuple[Witness, ...]:
        rest = tuple(one for one in roster if one != lost)
        names = {one.host for one in rest}
        for one in self._chosen([one for one in fresh if one.host not in names], ()):
            return (*rest, one)
        return roster

    def _chosen(
        self, witnesses: list[Witness], keep: tuple[Witness, ...]
    ) -> tuple[Witness, ...]:
        host_context = self._context.host_context
        shard = self._context.state.record.shard
        return choose_roster(witnesses, host_context.zones, shard, keep)

    async def _adopted(
        self, wanted: tuple[Witness, ...], roster: tuple[Witness, ...]
    ) -> bool:
        for witness in wanted:
            if witness not in roster and not await self._have_adopted(witness):
                return False
        return True

    async def _have_adopted(self, witness: Witness) -> bool:
        host_context = self._context.host_context
        record = self._context.state.record
        if not self._context.authority.holds:
            return False
        request = AdoptRequest(
            record.shard, record.leader_epoch, host_context.own_witness, witness
        )
        answer = await host_context.peers.call(
            witness.host, request, host_context.timing.renewal
        )
        if not isinstance(answer, AdoptAnswer) or not answer.adopted:
            return False
        return await self._promises.has_promise(witness)
