"""Planned moves of slices between targets."""

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
    from balsamway.ownership.grant_keeper import GrantKeeper
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import KeyRange, ShardRecord, SliceEntry

logger = logging.getLogger(__name__)

INTENT_TIMEOUT_SECONDS = 0.6
"""How long to try to record the next owners of a batch."""
COMMIT_TIMEOUT_SECONDS = 0.6
"""How long to try to record that the batch has moved."""
FENCE_TIMEOUT_SECONDS = 0.5
"""How long gateways may take to finish requests to the old owners.

The bound applies only if all old owners enforce fencing tokens. Otherwise the
move waits until every gateway has confirmed or its view has expired.
"""
RELEASE_RETRY_SECONDS = 0.05
"""The pause before an unanswered release is sent again."""


class Handover:
    """Moves slices between targets, with two writes of the record per batch.

    A move has these steps:

    1. Record the intended owners.
    2. Have the gateways pause new requests for the slices.
    3. Release the slices from the old owners, or wait until the grants of
       these have expired.
    4. Record the new owners.
    5. Grant the slices to the new owners.

    Args:
        context: The leader's components.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._state = context.state

    async def move(self, moves: Sequence[Move]) -> int:
        """Move slices, except for those that are already moving.

        Args:
            moves: The exact range of each slice and its next owner.

        Returns:
            The number of moves that took effect, which the store holds.
        """
        targets = {move.range: move.to for move in moves if self._is_possible(move)}
        ranges = self._state.reserve(targets)
        try:
            batch = {key_range: targets[key_range] for key_range in ranges}
            return await self._move(batch) if batch else 0
        finally:
            self._state.release_reservation(ranges)

    async def move_provisionally(self, moves: Sequence[Move]) -> None:
        """Move slices while the store cannot be written.

        The next owners get grant epochs from the block that this leader epoch
        reserves. The moves are provisional until the store holds them.

        Args:
            moves: The exact range of each slice and its next owner.
        """
        targets = {move.range: move.to for move in moves if self._is_possible(move)}
        ranges = self._state.reserve(targets)
        self._state.pause_requests(ranges)
        try:
            await self._release_from_owners(self._entries(ranges))
            if self._context.authority.is_valid:
                self._state.replace_entries(
                    with_new_owner(
                        entry, targets[entry.range], self._state.next_grant_epoch()
                    )
                    for entry in self._entries(ranges)
                )
        finally:
            self._state.release_reservation(ranges)
            self._resume(ranges)

    def _is_possible(self, move: Move) -> bool:
        entry = self._state.find_entry(move.range)
        if entry is None or entry.owner == move.to:
            return False
        return self._context.can_receive_slices(move.to) and not self._state.is_blocked(
            entry.range
        )

    async def _move(self, batch: dict[KeyRange, str]) -> int:
        if not await self._write_intent(batch):
            return 0
        owned = [entry for entry in self._entries(batch) if entry.owner]
        self._state.pause_requests(batch)
        try:
            await self._release_from_owners(owned)
            return await self._commit(batch)
        finally:
            self._resume(batch)

    def _resume(self, ranges: Iterable[KeyRange]) -> None:
        self._state.resume(ranges)
        self._context.views.refresh()
        for keeper in self._context.keepers.values():
            keeper.trigger_renewal()

    def _entries(self, batch: Iterable[KeyRange]) -> list[SliceEntry]:
        entries = [self._state.find_entry(key_range) for key_range in batch]
        return [entry for entry in entries if entry is not None]

    async def _write_intent(self, batch: dict[KeyRange, str]) -> bool:
        def change(record: ShardRecord) -> ShardRecord:
            entries = [
                replace(entry, moving_to=batch[entry.range])
                for entry in record.slices
                if entry.range in batch
            ]
            return with_entries(record, entries, self._state.last_grant_epoch)

        give_up_at = now() + INTENT_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        return outcome is WriteOutcome.WRITTEN

    async def _release_from_owners(self, entries: list[SliceEntry]) -> None:
        """Wait until the old owners no longer hold the slices."""
        owners = {entry.owner for entry in entries}
        keepers = [
            self._context.keepers[owner]
            for owner in owners
            if owner in self._context.keepers
        ]
        all_enforce = all(keeper.enforces_epochs is True for keeper in keepers)
        give_up_at = now() + FENCE_TIMEOUT_SECONDS if all_enforce else None
        if entries:
            await self._context.views.fence(give_up_at)
        self._state.exclude_from_grants(entry.range for entry in entries)
        releases = [
            self._release_ranges(
                keeper,
                [entry.range for entry in entries if entry.owner == keeper.name],
            )
            for keeper in keepers
        ]
        await asyncio.gather(*releases)

    async def _release_ranges(
        self, keeper: GrantKeeper, ranges: list[KeyRange]
    ) -> None:
        expires_at = keeper.grants_expire_at
        while now() < expires_at and not self._context.authority.has_ended:
            if await keeper.release(ranges):
                break
            await asyncio.sleep(RELEASE_RETRY_SECONDS)
        if keeper.enforces_epochs is not True:
            # An unanswered grant may still reach the target, which does not
            # notice that the grant is older than the release.
            await asyncio.sleep(
                max(0.0, min(expires_at, keeper.unanswered_grant_expires_at) - now())
            )

    async def _commit(self, batch: dict[KeyRange, str]) -> int:
        epochs = {key_range: self._state.next_grant_epoch() for key_range in batch}

        def change(record: ShardRecord) -> ShardRecord:
            entries = [
                with_new_owner(entry, batch[entry.range], epochs[entry.range])
                for entry in record.slices
                if entry.range in batch
            ]
            return with_entries(record, entries, self._state.last_grant_epoch)

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
        self._restore_owners(batch)
        return 0

    def _restore_owners(self, batch: dict[KeyRange, str]) -> None:
        """Return the slices to their old owners with new grant epochs.

        The store may hold the move, so the old grant epochs must not be used
        again.
        """
        self._state.replace_entries(
            replace(entry, epoch=self._state.next_grant_epoch(), moving_to="")
            for entry in self._entries(batch)
        )


def with_new_owner(entry: SliceEntry, to: str, epoch: int) -> SliceEntry:
    """Return a slice as it is after its move.

    Args:
        entry: The slice before the move.
        to: The next owner.
        epoch: The grant epoch of the next owner.

    Returns:
        The moved slice. If the next owner was the standby, the old owner
        becomes the standby.
    """
    standby = entry.owner if entry.standby == to else entry.standby
    return replace(entry, owner=to, epoch=epoch, standby=standby, moving_to="")
