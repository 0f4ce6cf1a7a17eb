"""Leads one shard."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.ownership.authority import Authority
from balsamway.ownership.grant_renewers import GrantRenewers
from balsamway.ownership.handover import Handover
from balsamway.ownership.last_grants import ask_for_last_grants
from balsamway.ownership.leaving import Leaving
from balsamway.ownership.loss import Loss
from balsamway.ownership.messages import ViewAnswer, ViewRequest
from balsamway.ownership.placement import Placement
from balsamway.ownership.promise_renewer import PromiseRenewer
from balsamway.ownership.reach import peer_reaches
from balsamway.ownership.record_writer import RecordWriter
from balsamway.ownership.recovery import Recovery
from balsamway.ownership.roster import Roster
from balsamway.ownership.shard_context import ShardContext
from balsamway.ownership.shard_state import ShardState
from balsamway.ownership.view_server import ViewServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance import Planner
    from balsamway.configuration import Weights
    from balsamway.ownership.claim import Claimed
    from balsamway.ownership.grant_renewer import GrantRenewer
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.load_source import LoadSource

logger = logging.getLogger(__name__)

SURVEY_WAIT_SECONDS = 0.15
"""How long views wait for targets that do not answer a new leader."""
TARGET_LIST_SECONDS = 0.2
LOSS_CHECK_SECONDS = 0.05
LEAVING_CHECK_SECONDS = 0.1
SILENCE_SECONDS = 0.4
"""How long no target answers before peers are asked for their reach."""
PLAN_SECONDS = 1.0
ROSTER_CHECK_SECONDS = 0.5
FLUSH_CHECK_SECONDS = 0.2
FLUSH_TIMEOUT_SECONDS = 30.0


class ShardLeader(mode.Service):
    """Acts for one shard for as long as its authority holds.

    Args:
        host_context: This host and its surroundings.
        claimed: The claim that was won.
        planner: Decides on placement.
        loads: The loads that gateways reported; None where nothing reports.
        weights: Gives what the workspace weighs now.
    """

    def __init__(
        self,
        host_context: HostContext,
        claimed: Claimed,
        planner: Planner,
        loads: LoadSource | None,
        weights: Callable[[], Weights],
    ) -> None:
        super().__init__()
        record = claimed.record
        timing = host_context.timing
        longest = max(timing.grant, timing.view) * host_context.allowance
        self._earlier_until = 0.0 if claimed.first else claimed.adopted_at + longest
        self._claimed = claimed
        self._host_context = host_context
        self._state = ShardState(record)
        self._authority = Authority(record.roster)
        self._renewers: dict[str, GrantRenewer] = {}
        self._promises = PromiseRenewer(
            host_context, record.shard, record.leader_epoch, self._authority
        )
        writer = RecordWriter(
            host_context, self._state, self._authority, claimed.object_version
        )
        views = ViewServer(
            host_context,
            self._state,
            self._authority,
            self._renewers,
            self._earlier_until,
        )
        self._context = ShardContext(
            host_context, self._state, self._authority, writer, self._renewers, views
        )
        self._targets = GrantRenewers(self._context, self._earlier_until)
        self._recovery = Recovery(self._state, self._earlier_until)
        self._handover = Handover(self._context)
        self._loss = Loss(self._context)
        self._leaving = Leaving(self._context, self._handover)
        self._placement = Placement(
            self._context, self._handover, planner, loads, weights
        )
        self._recovered = asyncio.Event()
        self.lapsed = asyncio.Event()
        """Set once authority has lapsed; nothing is done after that."""
        self.stood_down = False
        """Whether the leader gave up, as it reaches no target."""

    @property
    def context(self) -> ShardContext:
        """The leader's parts."""
        return self._context

    @property
    def handover(self) -> Handover:
        """Makes planned moves."""
        return self._handover

    @property
    def epoch(self) -> int:
        """The leader's epoch."""
        return self._state.record.leader_epoch

    @property
    def earlier_until(self) -> float:
        """When every grant and view of earlier leaders has surely ended."""
        return self._earlier_until

    @property
    def in_power(self) -> bool:
        """Whether the leader may act now."""
        return self._authority.holds

    async def on_start(self) -> None:
        """Blocks all grants until it is known who holds what."""
        self._recovery.block_all()

    async def on_stop(self) -> None:
        """Gives authority up."""
        self._authority.end()
        self._promises.stop()
        self._promises.resign()
        self.lapsed.set()

    def answer_view(self, gateway: str, request: ViewRequest) -> ViewAnswer:
        """Answers a gateway that asks for the view.

        Args:
            gateway: The gateway's host.
            request: What it has.

        Returns:
            The answer.
        """
        return self._context.views.answer(gateway, request)

    def dump(self) -> dict[str, object]:
        """Describes the leader for the state dump.

        Returns:
            Its epoch, authority, witnesses, targets and slices.
        """
        record = self._state.record
        return {
            "epoch": record.leader_epoch,
            "authority_seconds": self._authority.until - now(),
            "roster": [one.host for one in record.roster],
            "version": record.version,
            "ahead_of_store": self._state.ahead,
            "targets": {
                name: {
                    "answers": renewer.answers,
                    "leaving": renewer.leaving,
                    "checks": renewer.checks,
                    "grant_seconds": renewer.held_until - now(),
                    "slices": len(self._state.owned_by(name)),
                }
                for name, renewer in sorted(self._renewers.items())
            },
        }

    @mode.Service.task
    async def _lead(self) -> None:
        established, last = await asyncio.gather(
            self._promises.establish(),
            ask_for_last_grants(self._host_context, self._claimed),
        )
        if not established:
            self._authority.end()
            self.lapsed.set()
            return
        logger.info(
            "leadership taken",
            extra={"shard": str(self._state.record.shard), "epoch": self.epoch},
        )
        if last is not None:
            lapses = {one.name: one for one in last.targets}
            self._targets.shorten(lapses)
            self._recovery.shorten(last.slices, lapses)
            self._context.views.shorten(now() + last.views_seconds)
        self.add_future(self._promises.keep())
        surveys = [
            self.add_future(self._take_over(renewer))
            for renewer in self._targets.add_missing()
        ]
        if surveys:
            await asyncio.wait(surveys, timeout=SURVEY_WAIT_SECONDS)
        self._context.views.open()
        self._recovered.set()

    async def _take_over(self, renewer: GrantRenewer) -> None:
        await self._recovery.survey(renewer)
        self.add_future(renewer.keep())

    @mode.Service.task
    async def _watch_authority(self) -> None:
        while not self.should_stop and not self._authority.ended:
            rest = self._authority.until - now()
            pause = rest if self._authority.holds else self._host_context.timing.renewal
            await self.sleep(max(0.01, pause))
        self.lapsed.set()

    @mode.Service.task
    async def _push_views(self) -> None:
        await self._context.views.push_changes()

    @mode.Service.task
    async def _watch_target_list(self) -> None:
        await self._recovered.wait()
        while not self.should_stop and not self._authority.ended:
            for renewer in self._targets.add_missing():
                self.add_future(self._take_over(renewer))
            self._leaving.note_listed()
            await self.sleep(TARGET_LIST_SECONDS)

    @mode.Service.task
    async def _watch_losses(self) -> None:
        await self._recovered.wait()
        while not self.should_stop and not self._authority.ended:
            await self._loss.replace_lost()
            self._context.views.refresh()
            await self.sleep(LOSS_CHECK_SECONDS)

    @mode.Service.task
    async def _empty_leaving(self) -> None:
        await self._recovered.wait()
        while not self.should_stop and not self._authority.ended:
            await self._leaving.empty()
            await self.sleep(LEAVING_CHECK_SECONDS)

    @mode.Service.task
    async def _improve_placement(self) -> None:
        await self._recovered.wait()
        while not self.should_stop and not self._authority.ended:
            await self._placement.improve()
            await self.sleep(PLAN_SECONDS)

    @mode.Service.task
    async def _mend_roster(self) -> None:
        await self._recovered.wait()
        roster = Roster(self._context, self._promises)
        while not self.should_stop and not self._authority.ended:
            await roster.mend()
            await self.sleep(ROSTER_CHECK_SECONDS)

    @mode.Service.task
    async def _watch_silence(self) -> None:
        """Stands down where none of several targets answers but to a peer."""
        await self._recovered.wait()
        heard_at = now()
        while not self.should_stop and not self._authority.ended:
            renewers = self._renewers.values()
            if len(renewers) < 2 or any(one.answers for one in renewers):
                heard_at = now()
            if now() - heard_at >= SILENCE_SECONDS:
                await self._stand_down_if_cut_off()
                heard_at = now()
            await self.sleep(LOSS_CHECK_SECONDS)

    async def _stand_down_if_cut_off(self) -> None:
        shard = self._state.record.shard
        targets = sorted(self._renewers)
        if not await peer_reaches(self._host_context, shard, self.epoch, targets):
            return
        logger.info(
            "leadership given up, only peers reach targets",
            extra={"shard": str(shard)},
        )
        self.stood_down = True
        self._authority.end()

    @mode.Service.task
    async def _flush(self) -> None:
        await self._recovered.wait()
        writer = self._context.writer
        while not self.should_stop and not self._authority.ended:
            if self._state.ahead or not writer.settled:
                give_up_at = now() + FLUSH_TIMEOUT_SECONDS
                await writer.update(lambda record: record, give_up_at)
                self._context.views.refresh()
            await self.sleep(FLUSH_CHECK_SECONDS)
