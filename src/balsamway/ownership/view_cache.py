"""A gateway's copy of the view of one shard."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.outcome import Reason
from balsamway.ownership.route import NoRoute, Route
from balsamway.slices.slice_map import SliceMap

if TYPE_CHECKING:
    from balsamway.slices import KeyRange, ShardId, ShardView, ViewSlice

MIN_WAIT_SECONDS = 0.001
"""The least timeout of a wait.

It is longer than the amount by which the clock, read after a wait, may fall
short of the time waited for.
"""


class ViewCache:
    """The view of one shard, its expiry, and the requests in flight on it.

    Args:
        shard: The shard.
    """

    def __init__(self, shard: ShardId) -> None:
        self.shard = shard
        self.view: ShardView | None = None
        self.valid_until = 0.0
        """The event loop time at which the view expires."""
        self._slice_map: SliceMap[ViewSlice] = SliceMap(())
        self._in_flight: Counter[tuple[KeyRange, str, int]] = Counter()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> tuple[int, int]:
        """The leader epoch and revision of the view; (0, -1) for no view."""
        if self.view is None:
            return (0, -1)
        return (self.view.leader_epoch, self.view.revision)

    def adopt(self, view: ShardView) -> bool:
        """Replace the view if the given one is newer.

        Args:
            view: The view.

        Returns:
            Whether the view was adopted.
        """
        if (view.leader_epoch, view.revision) <= self.revision:
            return False
        self.view = view
        self._slice_map = SliceMap(view.slices)
        self._notify_waiters()
        return True

    def extend(self, leader_epoch: int, until: float) -> None:
        """Extend the validity of the view.

        Args:
            leader_epoch: The epoch of the leader that renewed the view.
            until: The event loop time at which the view expires: the time of
                the request plus the view's duration.
        """
        if leader_epoch != self.revision[0] or until <= self.valid_until:
            return
        was_valid = now() < self.valid_until
        self.valid_until = until
        if not was_valid:
            self._notify_waiters()

    def route(self, position: int) -> Route | NoRoute:
        """Return the route to the owner of a position now.

        Args:
            position: The hash position of a key.

        Returns:
            The route, or the reason why there is none now.
        """
        view_slice = self._slice_map.find(position)
        if self.view is None or view_slice is None:
            return NoRoute(Reason.VIEW_LAPSED)
        if not self._is_usable(view_slice):
            return NoRoute(Reason.VIEW_LAPSED)
        if view_slice.held:
            return NoRoute(Reason.MOVING)
        if not view_slice.owner:
            return NoRoute(Reason.NO_OWNER)
        return Route(
            self.shard,
            view_slice.range,
            view_slice.owner,
            view_slice.epoch,
            self.view.leader_epoch,
            self.view.revision,
            self.valid_until,
            view_slice.checked,
        )

    def is_current(self, route: Route) -> bool:
        """Whether a route that was found before may still be used.

        Args:
            route: The route.

        Returns:
            True if the view names the same owner and grant epoch.
        """
        slices = self._slice_map.overlapping(route.range)
        return bool(slices) and all(
            self._is_owned_by(view_slice, route.owner, route.epoch)
            and self._is_usable(view_slice)
            for view_slice in slices
        )

    def begin_request(self, route: Route) -> None:
        """Count a request that is now in flight on a route."""
        self._in_flight[(route.range, route.owner, route.epoch)] += 1

    def end_request(self, route: Route) -> None:
        """Remove a request from the count of those in flight on a route."""
        key = (route.range, route.owner, route.epoch)
        self._in_flight[key] -= 1
        if self._in_flight[key] == 0:
            del self._in_flight[key]
            self._notify_waiters()

    @property
    def is_drained(self) -> bool:
        """Whether no request is in flight to a target that lost its slice."""
        return all(
            all(
                self._is_owned_by(view_slice, owner, epoch)
                for view_slice in self._slice_map.overlapping(key_range)
            )
            for key_range, owner, epoch in self._in_flight
        )

    async def wait_for_change(self, until: float) -> None:
        """Wait until the view or the requests in flight change.

        Args:
            until: The event loop time at which to stop waiting.
        """
        changed = self._changed
        try:
            timeout = max(MIN_WAIT_SECONDS, until - now())
            await asyncio.wait_for(changed.wait(), timeout)
        except TimeoutError:
            return

    def _is_owned_by(self, view_slice: ViewSlice, owner: str, epoch: int) -> bool:
        return not view_slice.held and (view_slice.owner, view_slice.epoch) == (
            owner,
            epoch,
        )

    def _is_usable(self, view_slice: ViewSlice) -> bool:
        # An owner that enforces fencing tokens refuses a request that an
        # expired view wrongly sends to it.
        return view_slice.checked or now() < self.valid_until

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
