"""Monitoring of a shard's leader by the hosts that may succeed it."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership._majority import majority_size
from balsamway.ownership._rank import rank_witnesses
from balsamway.ownership.found_record import FoundRecord
from balsamway.ownership.messages import LeaderQuery, LeaderQueryAnswer
from balsamway.slices.record_codec import RecordError, decode_record
from balsamway.store import Absent, StoredObject

if TYPE_CHECKING:
    from balsamway.ownership.cluster import Cluster
    from balsamway.slices import ShardId, ShardRecord, Witness

logger = logging.getLogger(__name__)

RANK_DELAY_SECONDS = 0.15
"""The delay of a claim for each rank, so that one host claims at a time."""
MAX_JITTER_SECONDS = 0.02
"""The greatest random addition to a pause."""
PROMISE_MARGIN_SECONDS = 0.005
"""How long after a promise has expired its witness is asked again."""
SPARE_RANK = 3
"""The first rank of the spare hosts, which query witnesses less often."""
SPARE_DELAY_SECONDS = 2.0
"""How much later than other hosts a spare host queries a witness again."""
MIN_PAUSE_SECONDS = 0.25
"""The first pause while neither witnesses nor the store tell the leader."""
MAX_PAUSE_SECONDS = 1.0
"""The bound of that pause, which doubles each time."""
MAX_SPARE_PAUSE_SECONDS = 4.0
"""The bound of that pause on a spare host."""
QUERY_TIMEOUT_SECONDS = 0.1


class LeaderMonitor:
    """Waits until a shard has no leader and this host may claim it.

    While promises to a leader run, the store is not read at all. The monitor
    queries one witness each time the last reported promise has expired.

    Args:
        cluster: This host's identity and interfaces.
        shard: The shard.
    """

    def __init__(self, cluster: Cluster, shard: ShardId) -> None:
        self._cluster = cluster
        self._shard = shard
        self._last_read: FoundRecord | None = None
        self._query_count = 0
        self._waited_turn = 0.0
        self._restarted_at: dict[Witness, float] = {}
        """When a witness was first found to run as another incarnation."""
        self._pause = MIN_PAUSE_SECONDS

    @property
    def last_read_record(self) -> FoundRecord | None:
        """The record as last read; None before the first read."""
        return self._last_read

    async def wait_until_claimable(self) -> FoundRecord:
        """Wait until this host may claim the shard.

        Returns:
            The record to claim, read just before.
        """
        while True:
            record = await self._known_record()
            pause = await self._pause_before_claim(record)
            if pause > 0:
                await asyncio.sleep(pause)
                continue
            found = await self._read_again()
            if found is not None and found.record == record:
                return replace(found, is_roster_lost=self._is_roster_lost(record))

    async def _known_record(self) -> ShardRecord | None:
        while self._last_read is None:
            await self._read()
            if self._last_read is None:
                await self._pause_for_store()
        return self._last_read.record

    async def _read_again(self) -> FoundRecord | None:
        if not await self._read():
            await self._pause_for_store()
            return None
        return self._last_read

    async def _read(self) -> bool:
        result = await self._cluster.store.read(self._shard.object_name)
        match result:
            case StoredObject(version=version, body=body):
                try:
                    self._set_record(decode_record(body), version)
                except RecordError as error:
                    logger.error(
                        "shard record malformed",
                        extra={"shard": str(self._shard), "reason": str(error)},
                    )
                    return False
            case Absent():
                self._set_record(None, None)
            case _:
                return False
        return True

    def _set_record(self, record: ShardRecord | None, version: int | None) -> None:
        known = self._last_read
        if known is None or known.object_version != version:
            self._forget_witnesses_outside(record)
            self._last_read = FoundRecord(record, version, now())

    def _forget_witnesses_outside(self, record: ShardRecord | None) -> None:
        roster = record.roster if record else ()
        self._restarted_at = {
            witness: seen_at
            for witness, seen_at in self._restarted_at.items()
            if witness in roster
        }

    async def _pause_for_store(self) -> None:
        await asyncio.sleep(self._next_pause())

    def _next_pause(self) -> float:
        pause = self._pause * (0.5 + self._cluster.rng.random())
        record = self._last_read.record if self._last_read else None
        is_spare = self._rank(record) >= SPARE_RANK
        max_pause = MAX_SPARE_PAUSE_SECONDS if is_spare else MAX_PAUSE_SECONDS
        self._pause = min(2 * self._pause, max_pause)
        return min(pause, max_pause * (1 + MAX_JITTER_SECONDS))

    async def _pause_before_claim(self, record: ShardRecord | None) -> float:
        if record is None:
            return self._pause_by_rank(None)
        remaining = await self._query_next_witness(record)
        if remaining > 0:
            return remaining + self._pause_after_promise(record)
        return await self._query_all_witnesses(record)

    async def _query_next_witness(self, record: ShardRecord) -> float:
        others = [witness for witness in record.roster if witness != record.leader]
        if not others:
            return 0.0
        self._query_count += 1
        witness = others[self._query_count % len(others)]
        answer = await self._query(witness)
        return self._remaining_promise(answer) if answer is not None else 0.0

    async def _query_all_witnesses(self, record: ShardRecord) -> float:
        queries = [
            asyncio.create_task(self._query(witness)) for witness in record.roster
        ]
        adopted_epochs = []
        try:
            for query in asyncio.as_completed(queries):
                answer = await query
                if answer is None:
                    continue
                if answer.promise_seconds > 0:
                    return self._remaining_promise(answer)
                adopted_epochs.append(answer.epoch)
                if len(adopted_epochs) == majority_size(len(record.roster)):
                    return self._pause_without_promises(record, max(adopted_epochs))
        finally:
            for task in queries:
                task.cancel()
        await self._read()
        if self._is_roster_lost(record):
            return self._pause_for_lost_roster(record)
        return self._next_pause()

    def _is_roster_lost(self, record: ShardRecord | None) -> bool:
        if record is None:
            return False
        remaining = [
            witness for witness in record.roster if witness not in self._restarted_at
        ]
        return len(remaining) < majority_size(len(record.roster))

    def _pause_for_lost_roster(self, record: ShardRecord) -> float:
        # Promises that the witnesses gave before they restarted may still
        # count.
        promise = self._cluster.timing.promise * self._cluster.clock_rate_factor
        expiries = [
            seen_at + promise for witness, seen_at in self._restarted_at.items()
        ]
        remaining = max(expiries) - now()
        return remaining if remaining > 0 else self._pause_by_rank(record)

    def _pause_without_promises(self, record: ShardRecord, adopted_epoch: int) -> float:
        if record.leader == self._cluster.me:
            return 0.0
        if adopted_epoch < record.leader_epoch:
            # Another host has won the write and may be about to have its
            # epoch adopted. The record must stand unchanged for longer than
            # the duration of a promise.
            return self._pause_for_claim_in_progress()
        return self._pause_by_rank(record)

    def _pause_for_claim_in_progress(self) -> float:
        assert self._last_read is not None
        promise = self._cluster.timing.promise * self._cluster.clock_rate_factor
        remaining = self._last_read.first_seen_at + promise - now()
        return remaining + self._jitter() if remaining > 0 else 0.0

    def _pause_by_rank(self, record: ShardRecord | None) -> float:
        turn = self._rank(record) * RANK_DELAY_SECONDS
        if turn == 0 or self._waited_turn >= turn:
            self._waited_turn = 0.0
            return 0.0
        self._waited_turn = turn
        return turn + self._jitter()

    def _pause_after_promise(self, record: ShardRecord) -> float:
        if self._rank(record) < SPARE_RANK:
            return PROMISE_MARGIN_SECONDS
        return SPARE_DELAY_SECONDS + self._jitter()

    def _rank(self, record: ShardRecord | None) -> int:
        live = rank_witnesses(self._cluster.directory.live_witnesses(), self._shard)
        leader = record.leader if record else None
        candidates = [witness for witness in live if witness != leader]
        me = self._cluster.me
        return candidates.index(me) if me in candidates else len(candidates)

    def _remaining_promise(self, answer: LeaderQueryAnswer) -> float:
        if answer.promise_seconds <= 0:
            return 0.0
        self._pause = MIN_PAUSE_SECONDS
        self._waited_turn = 0.0
        return answer.promise_seconds + PROMISE_MARGIN_SECONDS

    async def _query(self, witness: Witness) -> LeaderQueryAnswer | None:
        answer = await self._cluster.peers.call(
            witness.host, LeaderQuery(self._shard), QUERY_TIMEOUT_SECONDS
        )
        if not isinstance(answer, LeaderQueryAnswer):
            return None
        if answer.incarnation != witness.incarnation:
            self._restarted_at.setdefault(witness, now())
            return None
        return answer

    def _jitter(self) -> float:
        return MAX_JITTER_SECONDS * self._cluster.rng.random()
