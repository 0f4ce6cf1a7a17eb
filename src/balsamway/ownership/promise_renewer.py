"""Asks a shard's witnesses for their promises, again and again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.messages import (
    AdoptRequest,
    PromiseAnswer,
    PromiseRequest,
    Resignation,
)

if TYPE_CHECKING:
    from balsamway.ownership.authority import Authority
    from balsamway.ownership.host_context import HostContext
    from balsamway.slices import ShardId, Witness


class PromiseRenewer:
    """Extends a leader's authority by its witnesses' promises.

    Args:
        host_context: This host and its surroundings.
        shard: The shard.
        epoch: The leader's epoch.
        authority: What the promises extend.
    """

    def __init__(
        self,
        host_context: HostContext,
        shard: ShardId,
        epoch: int,
        authority: Authority,
    ) -> None:
        self._host_context = host_context
        self._shard = shard
        self._epoch = epoch
        self._authority = authority
        self._restarted: set[Witness] = set()
        self._running: set[asyncio.Task[None]] = set()

    @property
    def restarted(self) -> frozenset[Witness]:
        """The witnesses in whose place another run of the daemon answered."""
        return frozenset(self._restarted)

    async def establish(self) -> bool:
        """Asks for the first promises.

        Returns:
            Whether a majority promised.
        """
        give_up_at = now() + self._host_context.timing.promise
        self._ask_all()
        while now() < give_up_at and not self._authority.holds:
            await asyncio.sleep(self._host_context.timing.promise / 500)
        return self._authority.holds

    async def has_promise(self, witness: Witness) -> bool:
        """Asks one witness for its promise.

        Args:
            witness: A witness that has adopted the leader's epoch.

        Returns:
            Whether its promise runs now.
        """
        await self._ask(witness)
        return self._authority.promise_end(witness) > now()

    async def keep(self) -> None:
        """Renews the promises until authority has lapsed."""
        while not self._authority.ended:
            self._ask_all()
            await asyncio.sleep(self._host_context.timing.renewal)

    def resign(self) -> None:
        """Tells the witnesses that this leader acts no more.

        Authority must have ended before; another host may then claim the
        shard without waiting for the promises to run out.
        """
        resignation = Resignation(
            self._shard, self._epoch, self._host_context.own_witness
        )
        for witness in self._authority.witnesses:
            self._host_context.peers.send(witness.host, resignation)

    def stop(self) -> None:
        """Gives up the questions that are under way."""
        for task in self._running:
            task.cancel()

    def _ask_all(self) -> None:
        for witness in self._authority.witnesses:
            task = asyncio.create_task(self._ask(witness))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _ask(self, witness: Witness) -> None:
        duration = self._host_context.timing.promise
        request = PromiseRequest(
            self._shard, self._epoch, self._host_context.own_witness, witness, duration
        )
        sent_at = now()
        answer = await self._host_context.peers.call(witness.host, request, duration)
        if not isinstance(answer, PromiseAnswer):
            return
        if answer.incarnation != witness.incarnation:
            self._restarted.add(witness)
        elif answer.given:
            self._authority.extend(witness, sent_at + duration)
        elif answer.epoch < self._epoch and self._authority.holds:
            await self._have_adopted(witness)

    async def _have_adopted(self, witness: Witness) -> None:
        # A claim waits for a majority only, and a new witness has adopted
        # nothing yet.
        request = AdoptRequest(
            self._shard, self._epoch, self._host_context.own_witness, witness
        )
        timeout = self._host_context.timing.renewal
        await self._host_context.peers.call(witness.host, request, timeout)
