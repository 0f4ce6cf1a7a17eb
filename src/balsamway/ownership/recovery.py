"""Recovery of what targets hold when a new leader takes over."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamway.ownership.grant_keeper import GrantKeeper
    from balsamway.ownership.messages import GrantedSlice, TargetLapse
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import SliceEntry

logger = logging.getLogger(__name__)

SURVEY_RETRY_SECONDS = 0.05
"""The pause before an unanswered survey is sent again."""


class Recovery:
    """Recovers the grants of previous leaders.

    No slice is granted before every previous grant must have expired, with
    one exception. A target that reports an unexpired grant of a slice is the
    only one that can hold the slice, and is granted it again at once. If the
    record names another owner, the target is also recorded as the owner. That
    happens after a standby was activated while the store was unavailable.

    Args:
        state: The leader's state of the shard.
        previous_grants_expire_at: The event loop time at which every grant
            and view of previous leaders has expired.
    """

    def __init__(self, state: ShardState, previous_grants_expire_at: float) -> None:
        self._state = state
        self._previous_grants_expire_at = previous_grants_expire_at

    def block_all_slices(self) -> None:
        """Exclude every slice from grants until previous ones have expired.

        Moves that a previous leader began are dropped.
        """
        self._state.replace_entries(
            replace(entry, moving_to="")
            for entry in self._state.record.slices
            if entry.moving_to
        )
        for entry in self._state.record.slices:
            self._state.block(entry.range, self._previous_grants_expire_at)

    def apply_previous_grants(
        self, granted: Iterable[GrantedSlice], expiries: Mapping[str, TargetLapse]
    ) -> None:
        """Apply what the previous leader reported of its grants.

        While the store is unavailable, a leader may grant a slice to another
        target than the stored owner; that target may hold the slice now. A
        target that alone may hold a slice is granted it again at once.

        Args:
            granted: The slices of the previous leader. Slices of other ranges
                stay blocked until every previous grant has expired.
            expiries: When the grants of each target expire, by its name.
        """
        for reported in granted:
            entry = self._state.find_entry(reported.range)
            if entry is None:
                continue
            if reported.epoch > entry.epoch:
                entry = replace(
                    entry, owner=reported.owner, epoch=reported.epoch, moving_to=""
                )
                self._state.replace_entries([entry])
            blocked_until = now() + reported.others_seconds
            if entry.owner != reported.owner:
                expiry = expiries.get(reported.owner)
                owner_expires_at = (
                    self._previous_grants_expire_at
                    if expiry is None
                    else now() + expiry.seconds
                )
                blocked_until = max(blocked_until, owner_expires_at)
            self._state.block(
                reported.range, min(self._previous_grants_expire_at, blocked_until)
            )

    async def recover_grants(self, keeper: GrantKeeper) -> None:
        """Survey a target and unblock the slices that it reports to hold.

        The survey is repeated until the target answers or every previous
        grant has expired.

        Args:
            keeper: The grant renewer of a target that may hold a previous
                grant.
        """
        while await keeper.survey() is None:
            if now() >= self._previous_grants_expire_at:
                return
            await asyncio.sleep(SURVEY_RETRY_SECONDS)
        recovered = [
            self._held_entry(keeper, entry) for entry in self._state.record.slices
        ]
        held_entries = [entry for entry in recovered if entry is not None]
        self._state.replace_entries(held_entries)
        for entry in held_entries:
            self._state.unblock(entry.range)

    def _held_entry(self, keeper: GrantKeeper, entry: SliceEntry) -> SliceEntry | None:
        if entry.owner == keeper.name and keeper.holds(entry):
            return replace(entry, moving_to="")
        for held in keeper.confirmed_ranges:
            covers = held.range.start <= entry.range.start < held.range.end
            if covers and held.epoch > entry.epoch:
                logger.info(
                    "owner found that the store does not name",
                    extra={"target": keeper.name, "epoch": held.epoch},
                )
                return replace(entry, owner=keeper.name, epoch=held.epoch, moving_to="")
        return None
