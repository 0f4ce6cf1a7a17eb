"""Empties targets that are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance import Move
from balsamway.store import HostState

if TYPE_CHECKING:
    from balsamway.ownership.handover import Handover
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import SliceEntry


class Leaving:
    """Moves everything off leaving targets at once.

    Args:
        context: The leader's parts.
        handover: Makes the moves.
    """

    def __init__(self, context: ShardContext, handover: Handover) -> None:
        self._context = context
        self._handover = handover

    def note_listed(self) -> None:
        """Takes over from the host list which targets are leaving."""
        shard = self._context.state.record.shard
        directory = self._context.host_context.directory
        for host in directory.targets(shard.workspace, shard.service):
            renewer = self._context.renewers.get(host.name)
            if renewer is not None and host.state is HostState.LEAVING:
                renewer.leaving = True

    async def empty(self) -> None:
        """Moves the slices of all leaving targets in one batch.

        A target leaves whether or not the store can be written.
        """
        moves = [
            Move(entry.range, target)
            for entry in self._context.state.record.slices
            if self._is_leaving(entry.owner) and (target := self._target(entry))
        ]
        if not moves or await self._handover.move(moves):
            return
        if self._context.writer.failing:
            await self._handover.move_provisionally(moves)

    def _is_leaving(self, target: str) -> bool:
        renewer = self._context.renewers.get(target)
        return renewer is not None and renewer.leaving and not renewer.lost

    def _target(self, entry: SliceEntry) -> str:
        if self._context.usable(entry.standby):
            return entry.standby
        return self._context.least_loaded(self._is_leaving)
