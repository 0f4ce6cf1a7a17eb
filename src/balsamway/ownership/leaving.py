"""Moves of all slices off draining targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance import Move
from balsamway.store import HostState

if TYPE_CHECKING:
    from balsamway.ownership.handover import Handover
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import SliceEntry


class Leaving:
    """Moves all slices off targets that are draining.

    Args:
        context: The leader's components.
        handover: Carries out the moves.
    """

    def __init__(self, context: ShardContext, handover: Handover) -> None:
        self._context = context
        self._handover = handover

    def update_from_host_list(self) -> None:
        """Mark the targets that the host list names as leaving."""
        shard = self._context.state.record.shard
        directory = self._context.cluster.directory
        for host in directory.targets(shard.workspace, shard.service):
            keeper = self._context.keepers.get(host.name)
            if keeper is not None and host.state is HostState.LEAVING:
                keeper.is_draining = True

    async def empty(self) -> None:
        """Move the slices of all draining targets in one batch.

        A target drains whether or not the store can be written. If it cannot,
        the moves are provisional.
        """
        moves = [
            Move(entry.range, destination)
            for entry in self._context.state.record.slices
            if self._is_draining(entry.owner)
            and (destination := self._destination(entry))
        ]
        if not moves or await self._handover.move(moves):
            return
        if self._context.writer.is_failing:
            await self._handover.move_provisionally(moves)

    def _is_draining(self, target: str) -> bool:
        keeper = self._context.keepers.get(target)
        return keeper is not None and keeper.is_draining and not keeper.lost

    def _destination(self, entry: SliceEntry) -> str:
        if self._context.can_receive_slices(entry.standby):
            return entry.standby
        return self._context.least_loaded_target(self._is_draining)
