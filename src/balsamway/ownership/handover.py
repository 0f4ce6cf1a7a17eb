"""Moves slices from target to target."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.record_writer import WriteOutcome
from balsamway.ownership.shard_state import with_entries

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from balsamway.balance import Move
    from balsamway.ownership.grant_renewer import GrantRenewer
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import KeyRange, ShardRecord, SliceEntry

logger = logging.getLogger(__name__)

INTENT_TIMEOUT_SECONDS = 0.6
COMMIT_TIMEOUT_SECONDS = 0.6
HOLD_NOTICE_SECONDS = 0.5
"""How long gateways have to finish what they sent to a checking target."""
RELEASE_PAUSE_SECONDS = 0.05


class Handover:
    """Makes planned moves, each batch with two writes of the record.

    The steps: record the intent, hold new requests, release from the old
    owners or wait for their grants to lapse, record the new owners, grant.

    Args:
        context: The leader's parts.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._state = context.state

    async def move(self, moves: Sequence[Move]) -> int:
        """Moves slices; those that are already moving are left out.

        Args:
            moves: Each a slice, by its exact range, and its next owner.

        Returns:
            How many moves took effect: the store holds them.
        """
        targets = {one.range: one.to for one in moves if self._is_possible(one)}
        ranges = self._state.reserve(targets)
        try:
            batch = {one: targets[one] for one in ranges}
            return await self._move(batch) if batch else 0
        finally:
            self._state.free(ranges)

    async def move_provisionally(self, moves: Sequence[Move]) -> None:
        """Moves slices while the store cannot be written.

        The next owners get epochs of the block that this leader's epoch
        reserves, and the moves are provisional until the store holds them.

        Args:
            moves: Each a slice, by its exact range, and its next owner.
        """
        targets = {one.range: one.to for one in moves if self._is_possible(one)}
        ranges = self._state.reserve(targets)
        self._state.hold(ranges)
        try:
            await self._take(self._entries(ranges))
            if self._context.authority.holds:
                self._state.replace_entries(
                    moved(one, targets[one.range], self._state.next_epoch())
                    for one in self._entries(ranges)
                )
        finally:
            self._state.free(ranges)
            self._resume(ranges)

    def _is_possible(self, move: Move) -> bool:
        entry = self._state.entry(move.range)
        if entry is None or entry.owner == move.to:
            return False
        return self._context.usable(move.to) and not self._state.is_blocked(entry.range)

    async def _move(self, batch: dict[KeyRange, str]) -> int:
        if not await self._write_intent(batch):
            return 0
        owned = [one for one in self._entries(batch) if one.owner]
        self._state.hold(batch)
        try:
            await self._take(owned)
            return await self._commit(batch)
        finally:
            self._resume(batch)

    def _resume(self, ranges: Iterable[KeyRange]) -> None:
        self._state.resume(ranges)
        self._context.views.refresh()
        for renewer in self._context.renewers.values():
            renewer.kick()

    def _entries(self, batch: Iterable[KeyRange]) -> list[SliceEntry]:
        found = [self._state.entry(one) for one in batch]
        return [one for one in found if one is not None]

    async def _write_intent(self, batch: dict[KeyRange, str]) -> bool:
        def change(record: ShardRecord) -> ShardRecord:
            entries = [
                replace(one, moving_to=batch[one.range])
                for one in record.slices
                if one.range in batch
            ]
            return with_entries(record, entries, self._state.last_epoch)

        give_up_at = now() + INTENT_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        return outcome is WriteOutcome.WRITTEN

    async def _take(self, entries: list[SliceEntry]) -> None:
        """Waits until the old owners hold the slices no more."""
        owners = {one.owner for one in entries}
        renewers = [
            self._context.renewers[one]
            for one in owners
            if one in self._context.renewers
        ]
        checked = all(one.checks is True for one in renewers)
        give_up_at = now() + HOLD_NOTICE_SECONDS if checked else None
        if entries:
            await self._context.views.fence(give_up_at)
        self._state.withhold(one.range for one in entries)
        releases = [
            self._release(one, [e.range for e in entries if e.owner == one.name])
            for one in renewers
        ]
        await asyncio.gather(*releases)

    async def _release(self, renewer: GrantRenewer, ranges: list[KeyRange]) -> None:
        lapse = renewer.held_until
        while now() < lapse and not self._context.authority.ended:
            if await renewer.release(ranges):
                break
            await asyncio.sleep(RELEASE_PAUSE_SECONDS)
        if renewer.checks is not True:
            # An order that was not answered may still reach the target, which
            # does not tell that it is older than the release.
            await asyncio.sleep(max(0.0, min(lapse, renewer.stray_until) - now()))

    async def _commit(self, batch: dict[KeyRange, str]) -> int:
        epochs = {one: self._state.next_epoch() for one in batch}

        def change(record: ShardRecord) -> ShardRecord:
            entries = [
                moved(one, batch[one.range], epochs[one.range])
                for one in record.slices
                if one.range in batch
            ]
            return with_entries(record, entries, self._state.last_epoch)

        give_up_at = now() + COMMIT_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        if outcome is WriteOutcome.WRITTEN:
            logger.info(
                "slices moved",
                extra={
                    "shard": str(self._state.record.shard),
                    "slices": len(batch),
                },
            )
            return len(batch)
        self._give_back(batch)
        return 0

    def _give_back(self, batch: dict[KeyRange, str]) -> None:
        """Grants the slices to their old owners by new epochs.

        The store may hold the move, so the old epochs are not used again.
        """
        self._state.replace_entries(
            replace(one, epoch=self._state.next_epoch(), moving_to="")
            for one in self._entries(batch)
        )


def moved(entry: SliceEntry, to: str, epoch: int) -> SliceEntry:
    """Makes a slice as it is after its move.

    Args:
        entry: The slice before.
        to: Its next owner.
        epoch: The fencing token of the next owner's grant.

    Returns:
        The slice; a next owner that was the standby leaves that to the
        target that owned the slice.
    """
    standby = entry.owner if entry.standby == to else entry.standby
    return replace(entry, owner=to, epoch=epoch, standby=standby, moving_to="")
