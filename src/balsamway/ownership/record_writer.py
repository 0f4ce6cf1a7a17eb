"""Writes of a shard's record by its leader."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from balsamway.clock import now
from balsamway.slices.record_codec import RecordError, decode_record, encode_record
from balsamway.slices.shard_record import ShardRecord
from balsamway.store import (
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    from balsamway.ownership.authority import Authority
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import Witness
    from balsamway.store.store import WriteResult

logger = logging.getLogger(__name__)

MIN_BACKOFF_SECONDS = 0.05
"""The first backoff after a failed write; it doubles at each failure."""
MAX_BACKOFF_SECONDS = 2.0
"""The bound of the backoff, before its random variation by half."""
MIN_CALL_TIMEOUT_SECONDS = 0.05
"""The least timeout of a call, also shortly before the caller gives up."""

RecordChange: TypeAlias = Callable[[ShardRecord], ShardRecord]


class WriteOutcome(Enum):
    """The outcome of a change of the record."""

    WRITTEN = "written"
    """The store holds the change."""
    NOT_WRITTEN = "not-written"
    """The store does not hold the change and never will."""
    UNKNOWN = "unknown"
    """The store may hold the change, now or later."""


class RecordWriter:
    """Writes changes of the record, one at a time, while authority is valid.

    If the outcome of a write is unknown, the writer reads the object back.
    Only the leader of an epoch writes records of that epoch, so the leader
    epoch of a record shows whether this leader wrote it.

    Args:
        cluster: This host's identity and interfaces.
        state: The leader's state of the shard.
        authority: The leader's authority.
        object_version: The version of the stored object that the claim wrote.
    """

    def __init__(
        self,
        cluster: Cluster,
        state: ShardState,
        authority: Authority,
        object_version: int,
    ) -> None:
        self._cluster = cluster
        self._state = state
        self._authority = authority
        self._object_version = object_version
        self._lock = asyncio.Lock()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._next_write_at = 0.0
        self._unsettled_rosters: set[tuple[Witness, ...]] = set()

    @property
    def is_roster_settled(self) -> bool:
        """Whether no write of unknown outcome may still change the roster."""
        return not self._unsettled_rosters

    @property
    def is_failing(self) -> bool:
        """Whether the last write is not known to have taken effect."""
        return self._next_write_at > 0

    async def update(self, change: RecordChange, give_up_at: float) -> WriteOutcome:
        """Apply a change to the record in the store and in memory.

        The record in memory changes only if the stored one did.

        Args:
            change: Returns the new record for the record in force. It may be
                called more than once.
            give_up_at: The event loop time at which to stop trying.

        Returns:
            Whether the store holds the change.
        """
        try:
            await asyncio.wait_for(self._lock.acquire(), _timeout_until(give_up_at))
        except TimeoutError:
            return WriteOutcome.NOT_WRITTEN
        try:
            return await self._update(change, give_up_at)
        finally:
            self._lock.release()

    async def _update(self, change: RecordChange, give_up_at: float) -> WriteOutcome:
        may_be_stored = False
        while self._authority.is_valid and await self._wait_for_backoff(give_up_at):
            change_id = self._cluster.new_change_id()
            record = replace(change(self._state.record), change_id=change_id)
            result = await self._write(record, give_up_at)
            match result:
                case Written(version=version):
                    self._note_stored(record, version)
                    self._state.record = change(self._state.record)
                    return WriteOutcome.WRITTEN
                case Conflict(current=StoredObject() as current):
                    may_be_stored = False
                    if not self._adopt_stored(current):
                        break
                    continue
                case Conflict():
                    self._authority.end()
                    break
                case Unavailable():
                    pass
                case _:
                    may_be_stored = await self._read_back(give_up_at)
                    if (
                        not may_be_stored
                        and self._state.stored_record.change_id == change_id
                    ):
                        self._state.record = change(self._state.record)
                        return WriteOutcome.WRITTEN
            self._back_off()
        return WriteOutcome.UNKNOWN if may_be_stored else WriteOutcome.NOT_WRITTEN

    async def _wait_for_backoff(self, give_up_at: float) -> bool:
        if self._next_write_at > give_up_at:
            return False
        await asyncio.sleep(max(0.0, self._next_write_at - now()))
        return now() <= give_up_at

    def _back_off(self) -> None:
        self._next_write_at = now() + self._backoff_seconds * (
            0.5 + self._cluster.rng.random()
        )
        self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    async def _write(self, record: ShardRecord, give_up_at: float) -> WriteResult:
        self._update_rosters(record.roster)
        if not self._authority.is_valid:
            return Unavailable("authority lapsed")
        name = record.shard.object_name
        work = self._cluster.store.write(
            name, encode_record(record), self._object_version
        )
        try:
            result = await asyncio.wait_for(work, _timeout_until(give_up_at))
        except TimeoutError:
            result = WriteUnknown("timeout")
        if isinstance(result, Unavailable):
            self._update_rosters()
        elif not isinstance(result, Written | Conflict):
            self._unsettled_rosters.add(record.roster)
        return result

    def _update_rosters(self, *being_written: tuple[Witness, ...]) -> None:
        stored_roster = self._state.stored_record.roster
        self._authority.set_rosters(
            {stored_roster, *self._unsettled_rosters, *being_written}
        )

    def _note_stored(self, record: ShardRecord, version: int) -> None:
        self._object_version = version
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._next_write_at = 0.0
        self._state.stored_record = record
        self._unsettled_rosters.clear()
        self._update_rosters()

    def _adopt_stored(self, current: StoredObject) -> bool:
        """Continue from the stored record if this leader wrote it.

        Returns:
            Whether this leader wrote it; otherwise its authority ends.
        """
        try:
            found = decode_record(current.body)
        except RecordError as error:
            logger.error("shard record malformed", extra={"reason": str(error)})
            self._authority.end()
            return False
        if found.leader_epoch != self._state.record.leader_epoch:
            logger.info(
                "leader superseded",
                extra={"shard": str(found.shard), "epoch": found.leader_epoch},
            )
            self._authority.end()
            return False
        if current.version > self._object_version:
            self._note_stored(found, current.version)
            in_force = replace(self._state.record, roster=found.roster)
            self._state.record = in_force
        return True

    async def _read_back(self, give_up_at: float) -> bool:
        """Read the object back after a write of unknown outcome.

        Args:
            give_up_at: The event loop time at which to stop waiting.

        Returns:
            Whether the write may still take effect.
        """
        name = self._state.record.shard.object_name
        work = self._cluster.store.read(name)
        try:
            found = await asyncio.wait_for(work, _timeout_until(give_up_at))
        except TimeoutError:
            return True
        if not isinstance(found, StoredObject) or found.version == self._object_version:
            return True
        self._adopt_stored(found)
        return False


def _timeout_until(give_up_at: float) -> float:
    return max(MIN_CALL_TIMEOUT_SECONDS, give_up_at - now())
