"""A gateway's views of the shards that it routes for."""

from __future__ import annotations

import asyncio
import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.ownership.messages import (
    ViewAnswer,
    ViewNotice,
    ViewNoticeAnswer,
    ViewRequest,
)
from balsamway.ownership.route import NoRoute
from balsamway.ownership.view_cache import ViewCache
from balsamway.slices import KeyRange, ShardId
from balsamway.slices.record_codec import RecordError, decode_record
from balsamway.store import StoredObject, Unavailable

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.route import Route

logger = logging.getLogger(__name__)

RETRY_PAUSE_SECONDS = 0.05
"""The pause after a renewal that failed."""
REQUEST_TIMEOUT_SECONDS = 0.3
"""How long to wait for an answer of the leader or the store."""
NO_LEADER_SECONDS = 5.0
"""How long without a leader until requests are refused at once."""
STORE_READ_INTERVAL_SECONDS = 2.0
"""The mean pause between reads of the record while no leader is known."""
DRAIN_TIMEOUT_SECONDS = 0.4
"""How long a leader's fence waits for requests in flight on an older view."""


class ViewKeeper(mode.Service):
    """Requests the view of each shard in use from its leader, and renews it.

    Implements `balsamway.ownership.routes.Routes`. The duration of a view
    counts from when it was requested.

    Args:
        cluster: This host's identity and interfaces.
    """

    def __init__(self, cluster: Cluster) -> None:
        super().__init__()
        self._cluster = cluster
        self._caches: dict[ShardId, ViewCache] = {}
        self._leaders: dict[ShardId, str] = {}
        self._answered_at: dict[ShardId, float] = {}
        self._renewal_triggers: dict[ShardId, asyncio.Event] = {}

    async def on_start(self) -> None:
        """Register the handler for views that leaders push."""
        self._cluster.peers.handle(ViewNotice, self._on_view_notice)

    async def find(
        self, shard: ShardId, position: int, deadline: float
    ) -> Route | NoRoute:
        """Find the owner of a key.

        Waits while the key's slice moves or has no owner.

        Args:
            shard: The shard of the key.
            position: The hash position of the key.
            deadline: The event loop time at which to give up.

        Returns:
            The route, or the reason why there was none by the deadline.
        """
        cache = self._cache_for(shard)
        while True:
            route = cache.route(position)
            if not isinstance(route, NoRoute):
                return route
            if now() >= deadline or self._has_no_leader(cache):
                return route
            await cache.wait_for_change(min(deadline, now() + NO_LEADER_SECONDS))

    @contextmanager
    def attempt(self, route: Route) -> Iterator[bool]:
        """Count a request in flight on a route until the context ends.

        Args:
            route: The route, found just before.

        Yields:
            Whether the route is still current. If it is not, nothing may be
            sent on it.
        """
        cache = self._caches.get(route.shard)
        if cache is None or not cache.is_current(route):
            yield False
            return
        cache.begin_request(route)
        try:
            yield True
        finally:
            cache.end_request(route)

    def refused(self, route: Route) -> None:
        """Report that a target refused a route, so that the view is renewed.

        Args:
            route: The route that was refused.
        """
        trigger = self._renewal_triggers.get(route.shard)
        if trigger is not None:
            trigger.set()

    def ranges_of(self, shard: ShardId) -> tuple[KeyRange, ...]:
        """Return the ranges of a shard's slices in its view.

        Args:
            shard: The shard.

        Returns:
            The ranges in order; empty if no view is known.
        """
        cache = self._caches.get(shard)
        if cache is None or cache.view is None:
            return ()
        return tuple(view_slice.range for view_slice in cache.view.slices)

    def dump(self) -> dict[str, object]:
        """Describe the views for the state dump.

        Returns:
            The leader, revision and time left of each view, by shard.
        """
        return {
            str(shard): {
                "leader": self._leaders.get(shard),
                "leader_epoch": cache.revision[0],
                "revision": cache.revision[1],
                "valid_seconds": cache.valid_until - now(),
            }
            for shard, cache in self._caches.items()
        }

    def _cache_for(self, shard: ShardId) -> ViewCache:
        cache = self._caches.get(shard)
        if cache is None:
            cache = self._caches[shard] = ViewCache(shard)
            self._renewal_triggers[shard] = asyncio.Event()
            self._answered_at[shard] = now()
            self.add_future(self._run_renewal(cache))
        return cache

    def _has_no_leader(self, cache: ViewCache) -> bool:
        if now() < cache.valid_until:
            return False
        return now() - self._answered_at[cache.shard] >= NO_LEADER_SECONDS

    async def _run_renewal(self, cache: ViewCache) -> None:
        while not self.should_stop:
            leader = await self._find_leader(cache.shard)
            renewed = leader is not None and await self._renew(cache, leader)
            await self._pause(cache.shard, renewed)

    async def _pause(self, shard: ShardId, renewed: bool) -> None:
        trigger = self._renewal_triggers[shard]
        pause = self._cluster.timing.renewal if renewed else RETRY_PAUSE_SECONDS
        try:
            await asyncio.wait_for(trigger.wait(), pause)
        except TimeoutError:
            return
        trigger.clear()
        await self.sleep(RETRY_PAUSE_SECONDS / 10)

    async def _find_leader(self, shard: ShardId) -> str | None:
        known = self._leaders.get(shard)
        if known is not None:
            return known
        listed = self._cluster.directory.leader_of(shard)
        if listed is not None:
            return listed
        return await self._recorded_leader(shard)

    async def _recorded_leader(self, shard: ShardId) -> str | None:
        work = self._cluster.store.read(shard.object_name)
        leader = None
        try:
            result = await asyncio.wait_for(work, REQUEST_TIMEOUT_SECONDS)
        except TimeoutError:
            result = Unavailable("timeout")
        if isinstance(result, StoredObject):
            try:
                leader = decode_record(result.body).leader
            except RecordError:
                logger.error("shard record malformed", extra={"shard": str(shard)})
        if leader is None:
            # A leader that is elected meanwhile pushes its view unasked.
            await self._pause_for_store(shard)
            return None
        return leader.host

    async def _pause_for_store(self, shard: ShardId) -> None:
        pause = STORE_READ_INTERVAL_SECONDS * (0.5 + self._cluster.rng.random())
        until = now() + pause
        while not self.should_stop and now() < until:
            if shard in self._leaders:
                return
            if self._cluster.directory.leader_of(shard) is not None:
                return
            await self.sleep(RETRY_PAUSE_SECONDS)

    async def _renew(self, cache: ViewCache, leader: str) -> bool:
        epoch, revision = cache.revision
        sent_at = now()
        answer = await self._cluster.peers.call(
            leader, ViewRequest(cache.shard, epoch, revision), REQUEST_TIMEOUT_SECONDS
        )
        if not isinstance(answer, ViewAnswer) or answer.duration_seconds <= 0:
            self._leaders.pop(cache.shard, None)
            return False
        until = sent_at + answer.duration_seconds
        if answer.view is not None:
            cache.adopt(answer.view)
            epoch = answer.view.leader_epoch
        cache.extend(epoch, until)
        self._leaders[cache.shard] = leader
        self._answered_at[cache.shard] = now()
        return True

    async def _on_view_notice(
        self, sender: str, notice: ViewNotice
    ) -> ViewNoticeAnswer | None:
        cache = self._caches.get(notice.view.shard)
        if cache is None:
            epoch, revision = notice.view.leader_epoch, notice.view.revision
            return ViewNoticeAnswer(epoch, revision, drained=True)
        previous_epoch = cache.revision[0]
        cache.adopt(notice.view)
        if cache.revision[0] > previous_epoch:
            self._leaders[notice.view.shard] = sender
            self._renewal_triggers[notice.view.shard].set()
        if notice.fence:
            await self._drain(cache)
        epoch, revision = cache.revision
        return ViewNoticeAnswer(epoch, revision, cache.is_drained)

    async def _drain(self, cache: ViewCache) -> None:
        until = now() + DRAIN_TIMEOUT_SECONDS
        while not cache.is_drained and now() < until:
            await cache.wait_for_change(until)
