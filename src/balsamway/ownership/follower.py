"""Watches over a shard's leader from another host."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership._majority import majority_of
from balsamway.ownership._rank import ranked
from balsamway.ownership.found_record import FoundRecord
from balsamway.ownership.messages import LeaderQuery, LeaderQueryAnswer
from balsamway.slices.record_codec import RecordError, decode_record
from balsamway.store import Absent, StoredObject

if TYPE_CHECKING:
    from balsamway.ownership.host_context import HostContext
    from balsamway.slices import ShardId, ShardRecord, Witness

logger = logging.getLogger(__name__)

RANK_PAUSE_SECONDS = 0.15
JITTER_SECONDS = 0.02
PROMISE_MARGIN_SECONDS = 0.005
SPARE_RANK = 3
"""Hosts ranked lower look less often."""
SPARE_PAUSE_SECONDS = 2.0
SHORTEST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 1.0
LONGEST_SPARE_PAUSE_SECONDS = 4.0
QUERY_TIMEOUT_SECONDS = 0.1


class Follower:
    """Waits until a shard has no leader and this host may claim it.

    While a leader's promises run the store is not read at all: one witness
    is asked each time that the last promise it told of has run out.

    Args:
        host_context: This host and its surroundings.
        shard: The shard.
    """

    def __init__(self, host_context: HostContext, shard: ShardId) -> None:
        self._host_context = host_context
        self._shard = shard
        self._found: FoundRecord | None = None
        self._asked = 0
        self._waited = 0.0
        self._gone: dict[Witness, float] = {}
        self._pause = SHORTEST_PAUSE_SECONDS

    @property
    def found(self) -> FoundRecord | None:
        """The record as last read."""
        return self._found

    async def wait_until_claimable(self) -> FoundRecord:
        """Waits until this host may claim the shard.

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
                return replace(found, roster_gone=self._is_roster_gone(record))

    async def _known_record(self) -> ShardRecord | None:
        while self._found is None:
            await self._read()
            if self._found is None:
                await self._pause_for_store()
        return self._found.record

    async def _read_again(self) -> FoundRecord | None:
        if not await self._read():
            await self._pause_for_store()
            return None
        return self._found

    async def _read(self) -> bool:
        result = await self._host_context.store.read(self._shard.object_name)
        match result:
            case StoredObject(version=version, body=body):
                try:
                    self._keep(decode_record(body), version)
                except RecordError as error:
                    logger.error(
                        "shard record malformed",
                        extra={"shard": str(self._shard), "reason": str(error)},
                    )
                    return False
            case Absent():
                self._keep(None, None)
            case _:
                return False
        return True

    def _keep(self, record: ShardRecord | None, version: int | None) -> None:
        known = self._found
        if known is None or known.object_version != version:
            self._forget_gone(record)
            self._found = FoundRecord(record, version, now())

    def _forget_gone(self, record: ShardRecord | None) -> None:
        roster = record.roster if record else ()
        self._gone = {one: at for one, at in self._gone.items() if one in roster}

    async def _pause_for_store(self) -> None:
        await asyncio.sleep(self._longer_pause())

    def _longer_pause(self) -> float:
        pause = self._pause * (0.5 + self._host_context.rng.random())
        record = self._found.record if self._found else None
        is_spare = self._rank(record) >= SPARE_RANK
        longest = LONGEST_SPARE_PAUSE_SECONDS if is_spare else LONGEST_PAUSE_SECONDS
        self._pause = min(2 * self._pause, longest)
        return min(pause, longest * (1 + JITTER_SECONDS))

    async def _pause_before_claim(self, record: ShardRecord | None) -> float:
        if record is None:
            return self._pause_of_rank(None)
        running = await self._promise_of_one(record)
        if running > 0:
            return running + self._pause_of_spare(record)
        return await self._pause_by_all(record)

    async def _promise_of_one(self, record: ShardRecord) -> float:
        others = [one for one in record.roster if one != record.leader]
        if not others:
            return 0.0
        self._asked += 1
        witness = others[self._asked % len(others)]
        answer = await self._ask(witness)
        return self._running(answer) if answer is not None else 0.0

    async def _pause_by_all(self, record: ShardRecord) -> float:
        asked = [asyncio.create_task(self._ask(one)) for one in record.roster]
        adopted = []
        try:
            for done in asyncio.as_completed(asked):
                answer = await done
                if answer is None:
                    continue
                if answer.promise_seconds > 0:
                    return self._running(answer)
                adopted.append(answer.epoch)
                if len(adopted) == majority_of(len(record.roster)):
                    return self._pause_of_claim(record, max(adopted))
        finally:
            for one in asked:
                one.cancel()
        await self._read()
        if self._is_roster_gone(record):
            return self._pause_of_gone_roster(record)
        return self._longer_pause()

    def _is_roster_gone(self, record: ShardRecord | None) -> bool:
        if record is None:
            return False
        rest = [one for one in record.roster if one not in self._gone]
        return len(rest) < majority_of(len(record.roster))

    def _pause_of_gone_roster(self, record: ShardRecord) -> float:
        # Promises that the witnesses gave before they ended may still count.
        promise = self._host_context.timing.promise * self._host_context.allowance
        ends = [seen + promise for one, seen in self._gone.items()]
        rest = max(ends) - now()
        return rest if rest > 0 else self._pause_of_rank(record)

    def _pause_of_claim(self, record: ShardRecord, adopted: int) -> float:
        if record.leader == self._host_context.own_witness:
            return 0.0
        if adopted < record.leader_epoch:
            # Another host has won the update, and may be about to have its
            # epoch adopted: the record must stand for longer than a lease.
            return self._pause_of_lease()
        return self._pause_of_rank(record)

    def _pause_of_lease(self) -> float:
        assert self._found is not None
        lease = self._host_context.timing.promise * self._host_context.allowance
        rest = self._found.seen_at + lease - now()
        return rest + self._jitter() if rest > 0 else 0.0

    def _pause_of_rank(self, record: ShardRecord | None) -> float:
        turn = self._rank(record) * RANK_PAUSE_SECONDS
        if turn == 0 or self._waited >= turn:
            self._waited = 0.0
            return 0.0
        self._waited = turn
        return turn + self._jitter()

    def _pause_of_spare(self, record: ShardRecord) -> float:
        if self._rank(record) < SPARE_RANK:
            return PROMISE_MARGIN_SECONDS
        return SPARE_PAUSE_SECONDS + self._jitter()

    def _rank(self, record: ShardRecord | None) -> int:
        live = ranked(self._host_context.directory.live_witnesses(), self._shard)
        leader = record.leader if record else None
        others = [one for one in live if one != leader]
        me = self._host_context.own_witness
        return others.index(me) if me in others else len(others)

    def _running(self, answer: LeaderQueryAnswer) -> float:
        if answer.promise_seconds <= 0:
            return 0.0
        self._pause = SHORTEST_PAUSE_SECONDS
        self._waited = 0.0
        return answer.promise_seconds + PROMISE_MARGIN_SECONDS

    async def _ask(self, witness: Witness) -> LeaderQueryAnswer | None:
        answer = await self._host_context.peers.call(
            witness.host, LeaderQuery(self._shard), QUERY_TIMEOUT_SECONDS
        )
        if not isinstance(answer, LeaderQueryAnswer):
            return None
        if answer.incarnation != witness.incarnation:
            self._gone.setdefault(witness, now())
            return None
        return answer

    def _jitter(self) -> float:
        return JITTER_SECONDS * self._host_context.rng.random()
