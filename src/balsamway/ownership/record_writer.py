"""Writes the record of a shard for its leader."""

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
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import Witness
    from balsamway.store.store import WriteResult

logger = logging.getLogger(__name__)

SHORTEST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 2.0
SHORTEST_CALL_SECONDS = 0.05

RecordChange: TypeAlias = Callable[[ShardRecord], ShardRecord]


class WriteOutcome(Enum):
    """What became of a change of the record."""

    WRITTEN = "written"
    NOT_WRITTEN = "not-written"
    """The store does not hold it, and will not."""
    UNKNOWN = "unknown"
    """The store may hold it, now or later."""


class RecordWriter:
    """Brings changes to the store, one at a time, while authority holds.

    A write of unknown fate is settled by reading back; only the leader of an
    epoch writes records of that epoch, so the epoch tells its own writes.

    Args:
        host_context: This host and its surroundings.
        state: The leader's memory.
        authority: The leader's authority.
        object_version: The version of the object that the claim wrote.
    """

    def __init__(
        self,
        host_context: HostContext,
        state: ShardState,
        authority: Authority,
        object_version: int,
    ) -> None:
        self._host_context = host_context
        self._state = state
        self._authority = authority
        self._version = object_version
        self._lock = asyncio.Lock()
        self._pause = SHORTEST_PAUSE_SECONDS
        self._next_try = 0.0
        self._unsettled: set[tuple[Witness, ...]] = set()

    @property
    def settled(self) -> bool:
        """Whether no write of unknown fate may still change the roster."""
        return not self._unsettled

    @property
    def failing(self) -> bool:
        """Whether the last write did not take effect for certain."""
        return self._next_try > 0

    async def update(self, change: RecordChange, give_up_at: float) -> WriteOutcome:
        """Applies a change to the record in memory and in the store.

        The record in memory changes only if the store's did.

        Args:
            change: Makes the new record from the one acted by; it may be
                applied more than once.
            give_up_at: When to stop trying, by the runtime's clock.

        Returns:
            Whether the store holds the change.
        """
        try:
            await asyncio.wait_for(self._lock.acquire(), _bounded(give_up_at))
        except TimeoutError:
            return WriteOutcome.NOT_WRITTEN
        try:
            return await self._update(change, give_up_at)
        finally:
            self._lock.release()

    async def _update(self, change: RecordChange, give_up_at: float) -> WriteOutcome:
        maybe = False
        while self._authority.holds and await self._wait_for_turn(give_up_at):
            change_id = self._host_context.change_id()
            record = replace(change(self._state.record), change_id=change_id)
            result = await self._write(record, give_up_at)
            match result:
                case Written(version=version):
                    self._accept(record, version)
                    self._state.record = change(self._state.record)
                    return WriteOutcome.WRITTEN
                case Conflict(current=StoredObject() as current):
                    maybe = False
                    if not self._take_over(current):
                        break
                    continue
                case Conflict():
                    self._authority.end()
                    break
                case Unavailable():
                    pass
                case _:
                    maybe = await self._read_back(give_up_at)
                    if not maybe and self._state.stored.change_id == change_id:
                        self._state.record = change(self._state.record)
                        return WriteOutcome.WRITTEN
            self._back_off()
        return WriteOutcome.UNKNOWN if maybe else WriteOutcome.NOT_WRITTEN

    async def _wait_for_turn(self, give_up_at: float) -> bool:
        if self._next_try > give_up_at:
            return False
        await asyncio.sleep(max(0.0, self._next_try - now()))
        return now() <= give_up_at

    def _back_off(self) -> None:
        self._next_try = now() + self._pause * (0.5 + self._host_context.rng.random())
        self._pause = min(2 * self._pause, LONGEST_PAUSE_SECONDS)

    async def _write(self, record: ShardRecord, give_up_at: float) -> WriteResult:
        self._require(record.roster)
        if not self._authority.holds:
            return Unavailable("authority lapsed")
        name = record.shard.object_name
        work = self._host_context.store.write(
            name, encode_record(record), self._version
        )
        try:
            result = await asyncio.wait_for(work, _bounded(give_up_at))
        except TimeoutError:
            result = WriteUnknown("timeout")
        if isinstance(result, Unavailable):
            self._require()
        elif not isinstance(result, Written | Conflict):
            self._unsettled.add(record.roster)
        return result

    def _require(self, *writing: tuple[Witness, ...]) -> None:
        stored = self._state.stored.roster
        self._authority.require({stored, *self._unsettled, *writing})

    def _accept(self, record: ShardRecord, version: int) -> None:
        self._version = version
        self._pause = SHORTEST_PAUSE_SECONDS
        self._next_try = 0.0
        self._state.stored = record
        self._unsettled.clear()
        self._require()

    def _take_over(self, current: StoredObject) -> bool:
        """Goes on from what the store holds, if this leader wrote it."""
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
        if current.version > self._version:
            self._accept(found, current.version)
            acted_by = replace(self._state.record, roster=found.roster)
            self._state.record = acted_by
        return True

    async def _read_back(self, give_up_at: float) -> bool:
        """Reads back after a lost answer.

        Args:
            give_up_at: When to stop waiting, by the runtime's clock.

        Returns:
            Whether the write may still take effect.
        """
        name = self._state.record.shard.object_name
        work = self._host_context.store.read(name)
        try:
            found = await asyncio.wait_for(work, _bounded(give_up_at))
        except TimeoutError:
            return True
        if not isinstance(found, StoredObject) or found.version == self._version:
            return True
        self._take_over(found)
        return False


def _bounded(give_up_at: float) -> float:
    return max(SHORTEST_CALL_SECONDS, give_up_at - now())
