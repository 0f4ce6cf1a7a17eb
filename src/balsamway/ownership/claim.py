"""A claim to the leadership of a shard."""

from __future__ import annotations

import asyncio
import itertools
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias, TypeGuard

from balsamway.clock import now
from balsamway.ownership._majority import majority_size
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
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.found_record import FoundRecord

logger = logging.getLogger(__name__)

ADOPTION_RETRY_SECONDS = 0.05
"""How long to wait before asking a witness again that did not answer."""
READ_BACK_PAUSE_SECONDS = 0.1
"""The least time between two reads that find out whether a write was applied.

The pause is random, up to twice this time.
"""


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The store names this host as leader; a majority adopted the epoch."""

    record: ShardRecord
    object_version: int
    """The version of the stored object that holds the record."""
    adopted_at: float
    """The event loop time at which a majority had adopted the epoch."""
    is_first_leader: bool
    """Whether the shard had no leader before."""
    previous_leader: Witness | None = None
    """The leader of the previous epoch; None if it is not known."""


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """This host does not lead the shard and may not act for it."""

    reason: str


ClaimResult: TypeAlias = ClaimWon | ClaimLost


class Claim:
    """Claims the leadership of a shard.

    A write may be applied late, or its answer may be lost. A claim therefore
    keeps this order: it wins the conditional write of the next leader epoch,
    then has a strict majority of the roster in that record adopt the epoch,
    and only then lets this host act.

    Args:
        cluster: This host's identity and interfaces.
        shard: The shard.
        slices: The number of slices that a new shard starts with.
    """

    def __init__(self, cluster: Cluster, shard: ShardId, slices: int) -> None:
        self._cluster = cluster
        self._shard = shard
        self._slices = slices
        self._last_led_epoch = 0

    async def attempt(self, found: FoundRecord) -> ClaimResult:
        """Claim the leader epoch after the one in the record.

        Args:
            found: The record, read just before.

        Returns:
            `ClaimWon` if this host leads the shard now, else `ClaimLost`.
        """
        if not found.is_roster_lost and self._won_before(found.record):
            return await self._adopt(found.record, found.object_version or 0)
        record = self._next_record(found)
        if not record.roster:
            return ClaimLost("no witnesses known")
        version = await self._write(record, found.object_version)
        if version is None:
            return ClaimLost("update not won")
        result = await self._adopt(record, version)
        if not isinstance(result, ClaimWon):
            return result
        if found.record is None:
            return replace(result, is_first_leader=True)
        return replace(result, previous_leader=found.record.leader)

    def _won_before(self, record: ShardRecord | None) -> TypeGuard[ShardRecord]:
        """Whether this host wrote the record and has not acted on it yet."""
        if record is None or record.leader != self._cluster.me:
            return False
        return record.leader_epoch != self._last_led_epoch

    def _next_record(self, found: FoundRecord) -> ShardRecord:
        change_id = self._cluster.new_change_id()
        record = found.record
        if record is None:
            return self._first_record(change_id)
        return replace(
            record,
            leader=self._cluster.me,
            leader_epoch=record.leader_epoch + 1,
            roster=self._new_roster() if found.is_roster_lost else record.roster,
            change_id=change_id,
        )

    def _new_roster(self) -> tuple[Witness, ...]:
        live = self._cluster.directory.live_witnesses()
        return choose_roster(live, self._cluster.zones, self._shard)

    def _first_record(self, change_id: str) -> ShardRecord:
        roster = self._new_roster()
        bounds = [POSITION_END * i // self._slices for i in range(self._slices + 1)]
        slices = tuple(
            SliceEntry(KeyRange(start, end), owner="", epoch=0)
            for start, end in itertools.pairwise(bounds)
        )
        me = self._cluster.me
        return ShardRecord(self._shard, 0, me, 1, roster, slices, 0, change_id)

    async def _write(self, record: ShardRecord, expected: int | None) -> int | None:
        name = self._shard.object_name
        body = encode_record(record)
        result = await self._cluster.store.write(name, body, expected)
        match result:
            case Written(version=version):
                return version
            case Conflict(current=StoredObject() as current):
                return self._version_if_own_write(current, record)
            case Conflict() | Unavailable():
                return None
        return await self._read_back(record, expected)

    async def _read_back(self, record: ShardRecord, expected: int | None) -> int | None:
        # The write may still be applied. This host gives up once the object
        # has another version, or after the duration of a grant. If the write
        # is applied after that, the leader monitor finds a record that names
        # this host.
        give_up_at = now() + self._cluster.timing.grant
        while now() < give_up_at:
            found = await self._cluster.store.read(self._shard.object_name)
            if isinstance(found, StoredObject) and found.version != expected:
                return self._version_if_own_write(found, record)
            await asyncio.sleep(
                READ_BACK_PAUSE_SECONDS * (1 + self._cluster.rng.random())
            )
        return None

    def _version_if_own_write(
        self, current: StoredObject, record: ShardRecord
    ) -> int | None:
        try:
            is_own_write = decode_record(current.body).change_id == record.change_id
        except RecordError:
            return None
        return current.version if is_own_write else None

    async def _adopt(self, record: ShardRecord, object_version: int) -> ClaimResult:
        adoptions = [
            asyncio.create_task(self._have_witness_adopt(record, witness))
            for witness in record.roster
        ]
        missing = majority_size(len(record.roster))
        try:
            for adoption in asyncio.as_completed(adoptions):
                missing -= await adoption
                if missing == 0:
                    self._last_led_epoch = record.leader_epoch
                    return ClaimWon(
                        record, object_version, now(), is_first_leader=False
                    )
        finally:
            for task in adoptions:
                task.cancel()
        return ClaimLost("no majority adopted the epoch")

    async def _have_witness_adopt(self, record: ShardRecord, witness: Witness) -> bool:
        timing = self._cluster.timing
        give_up_at = now() + 2 * timing.promise
        request = AdoptRequest(
            self._shard, record.leader_epoch, self._cluster.me, witness
        )
        while now() < give_up_at:
            answer = await self._cluster.peers.call(
                witness.host, request, timing.renewal
            )
            pause = ADOPTION_RETRY_SECONDS
            if isinstance(answer, AdoptAnswer):
                if answer.adopted:
                    return True
                if answer.wait_seconds == 0:
                    return False
                pause = answer.wait_seconds
            await asyncio.sleep(pause)
        return False
