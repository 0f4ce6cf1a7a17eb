"""Gives the slices of lost targets to their standbys."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.handover import moved
from balsamway.ownership.record_writer import WriteOutcome
from balsamway.ownership.shard_state import with_entries

if TYPE_CHECKING:
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import KeyRange, ShardRecord, SliceEntry

logger = logging.getLogger(__name__)

STORE_TIMEOUT_SECONDS = 0.4


class Loss:
    """Activates standbys once the grants of a lost target have lapsed.

    Where the store cannot be written, the standby is activated by an epoch
    of the block that this leader's epoch reserves; the assignment is
    provisional until the store holds it. A target that is lost together with
    its standby is replaced by the one with the least of the key space.

    Args:
        context: The leader's parts.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._state = context.state

    async def replace_lost(self) -> None:
        """Gives away what lost targets owned."""
        owners = {one.owner for one in self._state.record.slices if one.owner}
        lost = [self._replace(one) for one in sorted(owners) if self._is_lost(one)]
        await asyncio.gather(*lost)

    def _is_lost(self, target: str) -> bool:
        # A target that no host list names was granted nothing by this leader.
        renewer = self._context.renewers.get(target)
        return renewer is None or renewer.lost

    async def _replace(self, target: str) -> None:
        if not self._is_lost(target):
            return
        free = [
            one
            for one in self._state.owned_by(target)
            if not self._state.is_blocked(one.range)
        ]
        targets = {one.range: self._target(one) for one in free}
        wanted = [one for one, target in targets.items() if target]
        ranges = self._state.reserve(wanted)
        if not ranges:
            return
        # Nothing is awaited since the lapse was seen, so no grant of these
        # slices can be under way to the target.
        self._state.withhold(ranges)
        try:
            await self._fence(target)
            await self._activate({one: targets[one] for one in ranges})
        finally:
            self._state.resume(ranges)
            self._state.free(ranges)
            self._context.views.refresh()

    def _target(self, entry: SliceEntry) -> str:
        if self._context.usable(entry.standby):
            return entry.standby
        return self._context.least_loaded(lambda name: name == entry.owner)

    async def _fence(self, target: str) -> None:
        renewer = self._context.renewers.get(target)
        if renewer is None or renewer.checks is not True:
            await self._context.views.fence()

    async def _activate(self, targets: dict[KeyRange, str]) -> None:
        epochs = {one: self._state.next_epoch() for one in targets}

        def activated(record: ShardRecord) -> list[SliceEntry]:
            return [
                moved(one, targets[one.range], epochs[one.range])
                for one in record.slices
                if one.range in targets
            ]

        def change(record: ShardRecord) -> ShardRecord:
            return with_entries(record, activated(record), self._state.last_epoch)

        give_up_at = now() + STORE_TIMEOUT_SECONDS
        outcome = await self._context.writer.update(change, give_up_at)
        if outcome is not WriteOutcome.WRITTEN:
            self._activate_provisionally(targets, epochs)
        logger.info(
            "standbys activated",
            extra={
                "shard": str(self._state.record.shard),
                "slices": len(targets),
                "outcome": outcome.value,
            },
        )
        for target in set(targets.values()):
            self._context.renewers[target].kick()

    def _activate_provisionally(
        self, targets: dict[KeyRange, str], epochs: dict[KeyRange, int]
    ) -> None:
        if not self._context.authority.holds:
            return
        entries = [
            moved(one, targets[one.range], epochs[one.range])
            for one in self._state.record.slices
            if one.range in targets
        ]
        self._state.replace_entries(entries)
