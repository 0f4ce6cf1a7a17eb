"""Renewal of the promises of a shard's witnesses."""

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
    from balsamway.ownership.cluster import Cluster
    from balsamway.slices import ShardId, Witness


class PromiseKeeper:
    """Requests the promises that extend a leader's authority.

    A promise is a witness's time-limited vote to support no other leader.

    Args:
        cluster: This host's identity and interfaces.
        shard: The shard.
        epoch: The leader epoch.
        authority: The leader's authority, which the promises extend.
    """

    def __init__(
        self, cluster: Cluster, shard: ShardId, epoch: int, authority: Authority
    ) -> None:
        self._cluster = cluster
        self._shard = shard
        self._epoch = epoch
        self._authority = authority
        self._restarted_witnesses: set[Witness] = set()
        self._pending_requests: set[asyncio.Task[None]] = set()

    @property
    def restarted_witnesses(self) -> frozenset[Witness]:
        """The witnesses whose host answered as another incarnation."""
        return frozenset(self._restarted_witnesses)

    async def establish(self) -> bool:
        """Request the first promises.

        Returns:
            Whether a majority gave its promise in time.
        """
        give_up_at = now() + self._cluster.timing.promise
        self._request_all()
        while now() < give_up_at and not self._authority.is_valid:
            await asyncio.sleep(self._cluster.timing.promise / 500)
        return self._authority.is_valid

    async def request_promise(self, witness: Witness) -> bool:
        """Request the promise of one witness.

        Args:
            witness: A witness that has adopted the leader epoch.

        Returns:
            Whether the witness has a promise running now.
        """
        await self._request(witness)
        return self._authority.promise_expires_at(witness) > now()

    async def run(self) -> None:
        """Renew the promises until the authority has ended."""
        while not self._authority.has_ended:
            self._request_all()
            await asyncio.sleep(self._cluster.timing.renewal)

    def resign(self) -> None:
        """Tell the witnesses that this leader has resigned.

        The authority must have ended before. Another host may then claim the
        shard without waiting for the promises to expire.
        """
        resignation = Resignation(self._shard, self._epoch, self._cluster.me)
        for witness in self._authority.witnesses:
            self._cluster.peers.send(witness.host, resignation)

    def stop(self) -> None:
        """Cancel the pending requests."""
        for task in self._pending_requests:
            task.cancel()

    def _request_all(self) -> None:
        for witness in self._authority.witnesses:
            task = asyncio.create_task(self._request(witness))
            self._pending_requests.add(task)
            task.add_done_callback(self._pending_requests.discard)

    async def _request(self, witness: Witness) -> None:
        duration = self._cluster.timing.promise
        request = PromiseRequest(
            self._shard, self._epoch, self._cluster.me, witness, duration
        )
        sent_at = now()
        answer = await self._cluster.peers.call(witness.host, request, duration)
        if not isinstance(answer, PromiseAnswer):
            return
        if answer.incarnation != witness.incarnation:
            self._restarted_witnesses.add(witness)
        elif answer.given:
            self._authority.extend(witness, sent_at + duration)
        elif answer.epoch < self._epoch and self._authority.is_valid:
            await self._have_adopt(witness)

    async def _have_adopt(self, witness: Witness) -> None:
        # A claim waits only until a majority has adopted the epoch, so this
        # witness may not have adopted it yet. Nor has a new witness.
        request = AdoptRequest(self._shard, self._epoch, self._cluster.me, witness)
        timeout = self._cluster.timing.renewal
        await self._cluster.peers.call(witness.host, request, timeout)
