"""What a gateway holds of one shard."""

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

SHORTEST_WAIT_SECONDS = 0.001
"""Longer than what a clock's reading may be short of the time waited for."""


class ViewCache:
    """The view of one shard, its end, and what is in flight by it.

    Args:
        shard: The shard.
    """

    def __init__(self, shard: ShardId) -> None:
        self.shard = shard
        self.view: ShardView | None = None
        self.valid_until = 0.0
        """The end of the view, by the runtime's clock."""
        self._map: SliceMap[ViewSlice] = SliceMap(())
        self._in_flight: Counter[tuple[KeyRange, str, int]] = Counter()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> tuple[int, int]:
        """The leader epoch and the revision of the view; (0, -1) for none."""
        if self.view is None:
            return (0, -1)
        return (self.view.leader_epoch, self.view.revision)

    def adopt(self, view: ShardView) -> bool:
        """Takes a view if it is later than the one held.

        Args:
            view: The view.

        Returns:
            Whether it was taken.
        """
        if (view.leader_epoch, view.revision) <= self.revision:
            return False
        self.view = view
        self._map = SliceMap(view.slices)
        self._signal()
        return True

    def extend(self, leader_epoch: int, until: float) -> None:
        """Moves the end of the view on.

        Args:
            leader_epoch: The epoch of the leader that renewed the view.
            until: The moment of asking and the view's duration, added.
        """
        if leader_epoch != self.revision[0] or until <= self.valid_until:
            return
        was_valid = now() < self.valid_until
        self.valid_until = until
        if not was_valid:
            self._signal()

    def route(self, position: int) -> Route | NoRoute:
        """Finds the owner of a position now.

        Args:
            position: The position of a key.

        Returns:
            The route, or why there is none at this moment.
        """
        found = self._map.find(position)
        if self.view is None or found is None:
            return NoRoute(Reason.VIEW_LAPSED)
        if not self._is_usable(found):
            return NoRoute(Reason.VIEW_LAPSED)
        if found.held:
            return NoRoute(Reason.MOVING)
        if not found.owner:
            return NoRoute(Reason.NO_OWNER)
        return Route(
            self.shard,
            found.range,
            found.owner,
            found.epoch,
            self.view.leader_epoch,
            self.view.revision,
            self.valid_until,
            found.checked,
        )

    def holds(self, route: Route) -> bool:
        """Tells whether a route found earlier may still be used.

        Args:
            route: The route.

        Returns:
            True if the view names the same owner by the same epoch.
        """
        slices = self._map.overlapping(route.range)
        return bool(slices) and all(
            self._names(one, route.owner, route.epoch) and self._is_usable(one)
            for one in slices
        )

    def begin(self, route: Route) -> None:
        """Counts a request in flight."""
        self._in_flight[(route.range, route.owner, route.epoch)] += 1

    def end(self, route: Route) -> None:
        """Counts a request in flight no more."""
        key = (route.range, route.owner, route.epoch)
        self._in_flight[key] -= 1
        if self._in_flight[key] == 0:
            del self._in_flight[key]
            self._signal()

    @property
    def drained(self) -> bool:
        """Whether nothing is in flight to a target that lost the slice."""
        return all(
            all(self._names(one, owner, epoch) for one in self._map.overlapping(range_))
            for range_, owner, epoch in self._in_flight
        )

    async def wait_for_change(self, until: float) -> None:
        """Waits until the view or what is in flight changes.

        Args:
            until: When to stop waiting, by the runtime's clock.
        """
        changed = self._changed
        try:
            timeout = max(SHORTEST_WAIT_SECONDS, until - now())
            await asyncio.wait_for(changed.wait(), timeout)
        except TimeoutError:
            return

    def _names(self, found: ViewSlice, owner: str, epoch: int) -> bool:
        return not found.held and (found.owner, found.epoch) == (owner, epoch)

    def _is_usable(self, found: ViewSlice) -> bool:
        # An owner that checks refuses what a lapsed view wrongly sends it.
        return found.checked or now() < self.valid_until

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
