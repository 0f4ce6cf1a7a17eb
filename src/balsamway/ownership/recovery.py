"""Finds out what targets hold when a new leader takes over."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamway.ownership.grant_renewer import GrantRenewer
    from balsamway.ownership.messages import GrantedSlice, TargetLapse
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import SliceEntry

logger = logging.getLogger(__name__)

SURVEY_PAUSE_SECONDS = 0.05


class Recovery:
    """Takes over the grants of earlier leaders.

    No slice is granted before every earlier grant must have lapsed, but for
    one: a target that says it holds a slice, unexpired, is the only one that
    can, and is granted it again at once. It is also recorded as the owner if
    the record names another, as after a standby was activated while the
    store was down.

    Args:
        state: The leader's memory.
        lapse: When every grant and view of earlier leaders has lapsed.
    """

    def __init__(self, state: ShardState, lapse: float) -> None:
        self._state = state
        self._lapse = lapse

    def block_all(self) -> None:
        """Leaves every slice out of grants until earlier ones lapsed.

        Moves that an earlier leader began are dropped.
        """
        self._state.replace_entries(
            replace(one, moving_to="")
            for one in self._state.record.slices
            if one.moving_to
        )
        for entry in self._state.record.slices:
            self._state.block(entry.range, self._lapse)

    def shorten(
        self, granted: Iterable[GrantedSlice], lapses: Mapping[str, TargetLapse]
    ) -> None:
        """Takes over what the leader before last granted.

        It may have granted a slice to another target than the store names,
        as it does while the store is down; that one may hold it. The target
        that alone may hold a slice is granted it again at once.

        Args:
            granted: Its slices; those of other ranges stay blocked for long.
            lapses: When the grants of each target run out, by its name.
        """
        for one in granted:
            entry = self._state.entry(one.range)
            if entry is None:
                continue
            if one.epoch > entry.epoch:
                entry = replace(entry, owner=one.owner, epoch=one.epoch, moving_to="")
                self._state.replace_entries([entry])
            until = now() + one.others_seconds
            if entry.owner != one.owner:
                lapse = lapses.get(one.owner)
                held = self._lapse if lapse is None else now() + lapse.seconds
                until = max(until, held)
            self._state.block(one.range, min(self._lapse, until))

    async def survey(self, renewer: GrantRenewer) -> None:
        """Asks a target what it holds, until it answers or that has lapsed.

        Args:
            renewer: The keeper of a target that may hold an earlier grant.
        """
        while await renewer.survey() is None:
            if now() >= self._lapse:
                return
            await asyncio.sleep(SURVEY_PAUSE_SECONDS)
        found = [
            self._held_entry(renewer, entry) for entry in self._state.record.slices
        ]
        held = [entry for entry in found if entry is not None]
        self._state.replace_entries(held)
        for entry in held:
            self._state.unblock(entry.range)

    def _held_entry(
        self, renewer: GrantRenewer, entry: SliceEntry
    ) -> SliceEntry | None:
        if entry.owner == renewer.name and renewer.holds(entry):
            return replace(entry, moving_to="")
        for one in renewer.confirmed:
            covers = one.range.start <= entry.range.start < one.range.end
            if covers and one.epoch > entry.epoch:
                logger.info(
                    "owner found that the store does not name",
                    extra={"target": renewer.name, "epoch": one.epoch},
                )
                return replace(entry, owner=renewer.name, epoch=one.epoch, moving_to="")
        return None
