"""Claims the leadership of a shard."""

from __future__ import annotations

import asyncio
import itertools
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias, TypeGuard

from balsamway.clock import now
from balsamway.ownership._majority import majority_of
from balsamway.ownership.messages import AdoptAnswer, AdoptRequest
from balsamway.ownership.roster_choice import choose_roster
from balsamway.slices import (
    POSITION_END,
    KeyRange,
    ShardId,
    ShardRecord,
    SliceEntry,
    Witness,
)
from balsamway.slices.record_codec import RecordError, decode_record, encode_record
from balsamway.store import Conflict, StoredObject, Unavailable, Written

if TYPE_CHECKING:
    from balsamway.ownership.found_record import FoundRecord
    from balsamway.ownership.host_context import HostContext

logger = logging.getLogger(__name__)

ADOPTION_PAUSE_SECONDS = 0.05
SETTLE_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is won: the store names this host and a majority adopted."""

    record: ShardRecord
    object_version: int
    adopted_at: float
    """When a majority had adopted, by the runtime's clock."""
    first: bool
    """Whether the shard had no leader before."""
    previous: Witness | None = None
    """The leader of the epoch before; None if that is not known."""


@dataclass(frozen=True, slots=True)
class NotClaimed:
    """The claim is not won; nothing may be done by it."""

    reason: str


ClaimResult: TypeAlias = Claimed | NotClaimed


class Claim:
    """One attempt to become the leader of a shard.

    The order matters, since a write may be applied late or its answer lost:
    win the conditional update to the next epoch, then have a strict majority
    of the roster in that record adopt the epoch, and only then act.

    Args:
        host_context: This host and its surroundings.
        shard: The shard.
        slices: How many slices the shard starts with.
    """

    def __init__(self, host_context: HostContext, shard: ShardId, slices: int) -> None:
        self._host_context = host_context
        self._shard = shard
        self._slices = slices
        self._led_epoch = 0

    async def attempt(self, found: FoundRecord) -> ClaimResult:
        """Claims the epoch after the one in the record found.

        Args:
            found: The record, read just before.

        Returns:
            Whether this host leads the shard.
        """
        if not found.roster_gone and self._won_before(found.record):
            return await self._adopt(found.record, found.object_version or 0)
        record = self._next_record(found)
        if not record.roster:
            return NotClaimed("no witnesses known")
        version = await self._write(record, found.object_version)
        if version is None:
            return NotClaimed("update not won")
        result = await self._adopt(record, version)
        if not isinstance(result, Claimed):
            return result
        if found.record is None:
            return replace(result, first=True)
        return replace(result, previous=found.record.leader)

    def _won_before(self, record: ShardRecord | None) -> TypeGuard[ShardRecord]:
        """Tells whether an update won earlier was not acted upon yet."""
        if record is None or record.leader != self._host_context.own_witness:
            return False
        return record.leader_epoch != self._led_epoch

    def _next_record(self, found: FoundRecord) -> ShardRecord:
        change_id = self._host_context.change_id()
        record = found.record
        if record is None:
            return self._first_record(change_id)
        return replace(
            record,
            leader=self._host_context.own_witness,
            leader_epoch=record.leader_epoch + 1,
            roster=self._new_roster() if found.roster_gone else record.roster,
            change_id=change_id,
        )

    def _new_roster(self) -> tuple[Witness, ...]:
        live = self._host_context.directory.live_witnesses()
        return choose_roster(live, self._host_context.zones, self._shard)

    def _first_record(self, change_id: str) -> ShardRecord:
        roster = self._new_roster()
        bounds = [POSITION_END * i // self._slices for i in range(self._slices + 1)]
        slices = tuple(
            SliceEntry(KeyRange(start, end), owner="", epoch=0)
            for start, end in itertools.pairwise(bounds)
        )
        me = self._host_context.own_witness
        return ShardRecord(self._shard, 0, me, 1, roster, slices, 0, change_id)

    async def _write(self, record: ShardRecord, expected: int | None) -> int | None:
        name = self._shard.object_name
        body = encode_record(record)
        result = await self._host_context.store.write(name, body, expected)
        match result:
            case Written(version=version):
                return version
            case Conflict(current=StoredObject() as current):
                return self._version_if_ours(current, record)
            case Conflict() | Unavailable():
                return None
        return await self._settle(record, expected)

    async def _settle(self, record: ShardRecord, expected: int | None) -> int | None:
        # The update may still be applied. This host gives up only once the
        # object has another version, or after a lease; the follower then
        # finds the record in its own name if it was applied after all.
        give_up_at = now() + self._host_context.timing.grant
        while now() < give_up_at:
            found = await self._host_context.store.read(self._shard.object_name)
            if isinstance(found, StoredObject) and found.version != expected:
                return self._version_if_ours(found, record)
            await asyncio.sleep(
                SETTLE_PAUSE_SECONDS * (1 + self._host_context.rng.random())
            )
        return None

    def _version_if_ours(
        self, current: StoredObject, record: ShardRecord
    ) -> int | None:
        try:
            ours = decode_record(current.body).change_id == record.change_id
        except RecordError:
            return None
        return current.version if ours else None

    async def _adopt(self, record: ShardRecord, object_version: int) -> ClaimResult:
        waits = [
            asyncio.create_task(self._adopt_one(record, witness))
            for witness in record.roster
        ]
        needed = majority_of(len(record.roster))
        try:
            for done in asyncio.as_completed(waits):
                needed -= await done
                if needed == 0:
                    self._led_epoch = record.leader_epoch
                    return Claimed(record, object_version, now(), first=False)
        finally:
            for wait in waits:
                wait.cancel()
        return NotClaimed("no majority adopted the epoch")

    async def _adopt_one(self, record: ShardRecord, witness: Witness) -> bool:
        timing = self._host_context.timing
        give_up_at = now() + 2 * timing.promise
        request = AdoptRequest(
            self._shard, record.leader_epoch, self._host_context.own_witness, witness
        )
        while now() < give_up_at:
            answer = await self._host_context.peers.call(
                witness.host, request, timing.renewal
            )
            pause = ADOPTION_PAUSE_SECONDS
            if isinstance(answer, AdoptAnswer):
                if answer.adopted:
                    return True
                if answer.wait_seconds == 0:
                    return False
                pause = answer.wait_seconds
            await asyncio.sleep(pause)
        return False
