"""Gives gateways their views of a shard, and knows when they end."""

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
    from balsamway.ownership.grant_renewer import GrantRenewer
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import SliceEntry

NOTICE_TIMEOUT_SECONDS = 0.5
NOTICE_RETRY_SECONDS = 0.05


class ViewServer:
    """Answers for views while authority holds, and pushes changes.

    Args:
        host_context: This host and its surroundings.
        state: The leader's memory.
        authority: The leader's authority.
        renewers: The keepers of the targets, by name.
        earlier_until: When every view that earlier leaders gave has ended.
    """

    def __init__(
        self,
        host_context: HostContext,
        state: ShardState,
        authority: Authority,
        renewers: Mapping[str, GrantRenewer],
        earlier_until: float,
    ) -> None:
        self._host_context = host_context
        self._state = state
        self._authority = authority
        self._renewers = renewers
        self._earlier_until = earlier_until
        self._ends: dict[str, float] = {}
        self._revision = 0
        self._slices: tuple[ViewSlice, ...] = ()
        self._changed = asyncio.Event()
        self._open = False

    @property
    def view(self) -> ShardView:
        """The view as it is now."""
        record = self._state.record
        return ShardView(
            record.shard,
            record.leader_epoch,
            self._revision,
            self._host_context.timing.view,
            self._slices,
        )

    @property
    def view_ends(self) -> dict[str, float]:
        """When the view of each gateway ends, by the runtime's clock."""
        return dict(self._ends)

    def shorten(self, earlier_until: float) -> None:
        """Notes what the leader before said of the views that it gave.

        Args:
            earlier_until: When every view of earlier leaders has ended.
        """
        self._earlier_until = min(self._earlier_until, earlier_until)

    def open(self) -> None:
        """Begins to answer, once it is known what targets hold."""
        self._open = True
        self.refresh()

    def refresh(self) -> None:
        """Makes the view anew, and has it pushed if it changed."""
        if not self._open:
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
        """Gives a gateway the view, or renews the one that it has.

        Args:
            gateway: The gateway's host.
            request: What the gateway has.

        Returns:
            The answer; a refusal where authority has lapsed.
        """
        if not self._authority.holds or not self._slices:
            return ViewAnswer(None, False, 0.0, "not the leader")
        duration = self._host_context.timing.view
        end = now() + duration * self._host_context.allowance
        self._ends[gateway] = max(end, self._ends.get(gateway, 0.0))
        view = self.view
        known = (request.leader_epoch, request.revision)
        if known == (view.leader_epoch, view.revision):
            return ViewAnswer(None, True, duration)
        return ViewAnswer(view, False, duration)

    async def push_changes(self) -> None:
        """Pushes the view at each change until authority has lapsed."""
        while not self._authority.ended:
            await self._changed.wait()
            self._changed.clear()
            if self._authority.holds:
                self.announce()

    def announce(self) -> None:
        """Sends the view to every gateway, waiting for none."""
        self._forget_ended()
        notice = ViewNotice(self.view)
        for gateway in self._gateways():
            self._host_context.peers.send(gateway, notice)

    async def fence(self, give_up_at: float | None = None) -> bool:
        """Waits until no gateway acts on an older view.

        Args:
            give_up_at: When to stop waiting; None waits until the views of
                the gateways that do not confirm have ended.

        Returns:
            Whether every gateway confirmed, or its view has ended.
        """
        self.refresh()
        notice = ViewNotice(self.view, fence=True)
        waits = [self._fence_one(one, notice) for one in self._gateways()]
        work = asyncio.gather(self._fence_unknown(), *waits)
        timeout = None if give_up_at is None else max(0.0, give_up_at - now())
        try:
            await asyncio.wait_for(work, timeout)
        except TimeoutError:
            return False
        return True

    async def _fence_unknown(self) -> None:
        # Which gateways have a view of an earlier leader is not known.
        await asyncio.sleep(max(0.0, self._earlier_until - now()))

    async def _fence_one(self, gateway: str, notice: ViewNotice) -> None:
        while now() < self._ends.get(gateway, 0.0):
            answer = await self._host_context.peers.call(
                gateway, notice, NOTICE_TIMEOUT_SECONDS
            )
            if isinstance(answer, ViewNoticeAnswer) and answer.drained:
                return
            await asyncio.sleep(NOTICE_RETRY_SECONDS)

    def _gateways(self) -> set[str]:
        known = {host.name for host in self._host_context.directory.entry_hosts()}
        return known | set(self._ends)

    def _forget_ended(self) -> None:
        for gateway in [one for one, end in self._ends.items() if end <= now()]:
            del self._ends[gateway]

    def _view_slice(self, entry: SliceEntry, provisional: bool) -> ViewSlice:
        renewer = self._renewers.get(entry.owner)
        served = renewer is not None and renewer.holds(entry)
        return ViewSlice(
            entry.range,
            entry.owner if served else "",
            entry.epoch,
            self._state.is_held(entry.range),
            provisional,
            renewer is not None and renewer.checks is True,
        )
