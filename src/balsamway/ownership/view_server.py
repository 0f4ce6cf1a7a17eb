"""The leader's views of a shard, as served to gateways."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.messages import (
    ViewAnswer,
    ViewNotice,
    ViewNoticeAnswer,
    ViewRequest,
)
from balsamway.slices import ShardView, ViewSlice

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.ownership.authority import Authority
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.grant_keeper import GrantKeeper
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import SliceEntry

NOTICE_TIMEOUT_SECONDS = 0.5
"""How long to wait for a gateway to confirm a view."""
NOTICE_RETRY_SECONDS = 0.05
"""The pause before a view that was not confirmed is sent again."""


class ViewServer:
    """Serves views while authority is valid, and pushes changes to gateways.

    It knows when the view of each gateway expires.

    Args:
        cluster: This host's identity and interfaces.
        state: The leader's state of the shard.
        authority: The leader's authority.
        keepers: The grant renewers of the targets, by the target's name.
        previous_views_expire_at: The event loop time at which every view of
            previous leaders has expired.
    """

    def __init__(
        self,
        cluster: Cluster,
        state: ShardState,
        authority: Authority,
        keepers: Mapping[str, GrantKeeper],
        previous_views_expire_at: float,
    ) -> None:
        self._cluster = cluster
        self._state = state
        self._authority = authority
        self._keepers = keepers
        self._previous_views_expire_at = previous_views_expire_at
        self._view_expiries: dict[str, float] = {}
        self._revision = 0
        self._slices: tuple[ViewSlice, ...] = ()
        self._changed = asyncio.Event()
        self._is_open = False

    @property
    def view(self) -> ShardView:
        """The current view."""
        record = self._state.record
        return ShardView(
            record.shard,
            record.leader_epoch,
            self._revision,
            self._cluster.timing.view,
            self._slices,
        )

    @property
    def view_expiries(self) -> dict[str, float]:
        """The event loop time at which each gateway's view expires."""
        return dict(self._view_expiries)

    def limit_previous_views(self, previous_views_expire_at: float) -> None:
        """Apply what the previous leader reported of its views.

        Args:
            previous_views_expire_at: The event loop time at which every view
                of previous leaders has expired.
        """
        self._previous_views_expire_at = min(
            self._previous_views_expire_at, previous_views_expire_at
        )

    def open(self) -> None:
        """Start to serve views, once it is known what the targets hold."""
        self._is_open = True
        self.refresh()

    def refresh(self) -> None:
        """Rebuild the view, and have it pushed to gateways if it changed."""
        if not self._is_open:
            return
        provisional = self._state.provisional()
        slices = tuple(
            self._view_slice(entry, entry.range in provisional)
            for entry in self._state.record.slices
        )
        if slices == self._slices:
            return
        self._slices = slices
        self._revision += 1
        self._changed.set()

    def answer(self, gateway: str, request: ViewRequest) -> ViewAnswer:
        """Return the view to a gateway, or renew the one that it has.

        Args:
            gateway: The gateway's host.
            request: The request, which names the view that the gateway has.

        Returns:
            The answer; a refusal if the authority has ended.
        """
        if not self._authority.is_valid or not self._slices:
            return ViewAnswer(None, False, 0.0, "not the leader")
        duration = self._cluster.timing.view
        expires_at = now() + duration * self._cluster.clock_rate_factor
        self._view_expiries[gateway] = max(
            expires_at, self._view_expiries.get(gateway, 0.0)
        )
        view = self.view
        gateway_revision = (request.leader_epoch, request.revision)
        if gateway_revision == (view.leader_epoch, view.revision):
            return ViewAnswer(None, True, duration)
        return ViewAnswer(view, False, duration)

    async def push_changes(self) -> None:
        """Push the view at each change until the authority has ended."""
        while not self._authority.has_ended:
            await self._changed.wait()
            self._changed.clear()
            if self._authority.is_valid:
                self.send_to_all_gateways()

    def send_to_all_gateways(self) -> None:
        """Send the view to every gateway without waiting for answers."""
        self._forget_expired_views()
        notice = ViewNotice(self.view)
        for gateway in self._gateways():
            self._cluster.peers.send(gateway, notice)

    async def fence(self, give_up_at: float | None = None) -> bool:
        """Wait until no gateway acts on an older view.

        Args:
            give_up_at: The event loop time at which to stop waiting. If None,
                wait until the views of gateways that do not confirm have
                expired.

        Returns:
            Whether each gateway has confirmed or its view has expired.
        """
        self.refresh()
        notice = ViewNotice(self.view, fence=True)
        fences = [self._fence_gateway(gateway, notice) for gateway in self._gateways()]
        work = asyncio.gather(self._wait_for_previous_views(), *fences)
        timeout = None if give_up_at is None else max(0.0, give_up_at - now())
        try:
            await asyncio.wait_for(work, timeout)
        except TimeoutError:
            return False
        return True

    async def _wait_for_previous_views(self) -> None:
        # It is not known which gateways have a view of a previous leader.
        await asyncio.sleep(max(0.0, self._previous_views_expire_at - now()))

    async def _fence_gateway(self, gateway: str, notice: ViewNotice) -> None:
        while now() < self._view_expiries.get(gateway, 0.0):
            answer = await self._cluster.peers.call(
                gateway, notice, NOTICE_TIMEOUT_SECONDS
            )
            if isinstance(answer, ViewNoticeAnswer) and answer.drained:
                return
            await asyncio.sleep(NOTICE_RETRY_SECONDS)

    def _gateways(self) -> set[str]:
        known = {host.name for host in self._cluster.directory.entry_hosts()}
        return known | set(self._view_expiries)

    def _forget_expired_views(self) -> None:
        for gateway in [
            name
            for name, expires_at in self._view_expiries.items()
            if expires_at <= now()
        ]:
            del self._view_expiries[gateway]

    def _view_slice(self, entry: SliceEntry, provisional: bool) -> ViewSlice:
        keeper = self._keepers.get(entry.owner)
        is_held = keeper is not None and keeper.holds(entry)
        return ViewSlice(
            entry.range,
            entry.owner if is_held else "",
            entry.epoch,
            self._state.are_requests_paused(entry.range),
            provisional,
            keeper is not None and keeper.enforces_epochs is True,
        )
