"""Failover of the slices of lost targets to their standbys."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.handover import with_new_owner
from balsamway.ownership.record_writer import WriteOutcome
from balsamway.ownership.shard_state import with_entries

if TYPE_CHECKING:
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import KeyRange, ShardRecord, SliceEntry

logger = logging.getLogger(__name__)

WRITE_TIMEOUT_SECONDS = 0.4
"""How long to try to record new owners before they become provisional."""


class TargetFailover:
    """Activates standbys once the grants of a lost target have expired.

    If the store cannot be written, the standby is activated with a grant epoch
    from the block that this leader epoch reserves. The assignment is then
    provisional until the store holds it. If a target is lost together with its
    standby, its slices go to the target that owns the least of the key space.

    Args:
        context: The leader's components.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._state = context.state

    async def replace_lost_targets(self) -> None:
        """Assign the slices of lost targets to other targets."""
        owners = {entry.owner for entry in self._state.record.slices if entry.owner}
        replacements = [
            self._replace(owner) for owner in sorted(owners) if self._is_lost(owner)
        ]
        await asyncio.gather(*replacements)

    def _is_lost(self, target: str) -> bool:
        # This leader has granted nothing to a target that no host list names.
        keeper = self._context.keepers.get(target)
        return keeper is None or keeper.lost

    async def _replace(self, target: str) -> None:
        if not self._is_lost(target):
            return
        unblocked = [
            entry
            for entry in self._state.entries_owned_by(target)
            if not self._state.is_blocked(entry.range)
        ]
        new_owners = {entry.range: self._new_owner(entry) for entry in unblocked}
        assignable = [key_range for key_range, owner in new_owners.items() if owner]
        ranges = self._state.reserve(assignable)
        if not ranges:
            return
        # Nothing was awaited since the grants were seen to have expired, so
        # no grant of these slices can be on its way to the target.
        self._state.exclude_from_grants(ranges)
        try:
            await self._fence(target)
            await self._activate(
                {key_range: new_owners[key_range] for key_range in ranges}
            )
        finally:
            self._state.resume(ranges)
            self._state.release_reservation(ranges)
            self._context.views.refresh()

    def _new_owner(self, entry: SliceEntry) -> str:
        if self._context.can_receive_slices(entry.standby):
            return entry.standby
        return self._context.least_loaded_target(lambda name: name == entry.owner)

    async def _fence(self, target: str) -> None:
        keeper = self._context.keepers.get(target)
        if keeper is None or keeper.enforces_epochs is not True:
            await self._context.views.fence()

    async def _activate(self, new_owners: dict[KeyRange, str]) -> None:
        epochs = {key_range: self._state.next_grant_epoch() for key_range in new_owners}

        def activated(record: ShardRecord) -> list[SliceEntry]:
            return [
                with_new_owner(entry, new_owners[entry.range], epochs[entry.range])
                for entry in record.slices
                if entry.range in new_owners
            ]

        def change(record: ShardRecord) -> ShardRecord:
            return with_entries(record, activated(record), self._state.last_grant_epoch)

        give_up_at = now() + WRITE_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        if outcome is not WriteOutcome.WRITTEN:
            self._activate_provisionally(new_owners, epochs)
        logger.info(
            "standbys activated",
            extra={
                "shard": str(self._state.record.shard),
                "slices": len(new_owners),
                "outcome": outcome.value,
            },
        )
        for owner in set(new_owners.values()):
            self._context.keepers[owner].trigger_renewal()

    def _activate_provisionally(
        self, new_owners: dict[KeyRange, str], epochs: dict[KeyRange, int]
    ) -> None:
        if not self._context.authority.is_valid:
            return
        entries = [
            with_new_owner(entry, new_owners[entry.range], epochs[entry.range])
            for entry in self._state.record.slices
            if entry.range in new_owners
        ]
        self._state.replace_entries(entries)
