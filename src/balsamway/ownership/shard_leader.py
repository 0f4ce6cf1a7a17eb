"""The leader of one shard."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.ownership.authority import Authority
from balsamway.ownership.grant_keepers import GrantKeepers
from balsamway.ownership.handover import Handover
from balsamway.ownership.leaving import Leaving
from balsamway.ownership.messages import ViewAnswer, ViewRequest
from balsamway.ownership.placement import Placement
from balsamway.ownership.previous_grants import request_previous_grants
from balsamway.ownership.promise_keeper import PromiseKeeper
from balsamway.ownership.reach import any_peer_reaches_target
from balsamway.ownership.record_writer import RecordWriter
from balsamway.ownership.recovery import Recovery
from balsamway.ownership.roster_maintenance import RosterMaintenance
from balsamway.ownership.shard_context import ShardContext
from balsamway.ownership.shard_state import ShardState
from balsamway.ownership.target_failover import TargetFailover
from balsamway.ownership.view_server import ViewServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance import Planner
    from balsamway.configuration import Weights
    from balsamway.ownership.claim import ClaimWon
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.grant_keeper import GrantKeeper
    from balsamway.ownership.load_source import LoadSource

logger = logging.getLogger(__name__)

MAX_SURVEY_WAIT_SECONDS = 0.15
"""How long a new leader withholds views while targets have not answered."""
TARGET_LIST_CHECK_SECONDS = 0.2
"""The interval at which the host list is checked for targets."""
LOSS_CHECK_SECONDS = 0.05
"""The interval of the checks for lost and for unresponsive targets."""
DRAINING_CHECK_SECONDS = 0.1
"""The interval at which slices are moved off draining targets."""
UNRESPONSIVE_SECONDS = 0.4
"""How long no target answers before peers are asked whether they reach any."""
PLAN_INTERVAL_SECONDS = 1.0
"""The interval at which the placement is planned."""
ROSTER_CHECK_SECONDS = 0.5
"""The interval at which the roster is checked for lost witnesses."""
FLUSH_CHECK_SECONDS = 0.2
"""The interval at which changes that are not stored yet are written."""
FLUSH_TIMEOUT_SECONDS = 30.0
"""How long one such write is tried."""


class ShardLeader(mode.Service):
    """Leads one shard while its authority is valid.

    Args:
        cluster: This host's identity and interfaces.
        claimed: The claim that was won.
        planner: Decides on the placement of slices.
        loads: The loads that gateways reported; None if none are reported.
        weights: Returns the workspace's current weights.
    """

    def __init__(
        self,
        cluster: Cluster,
        claimed: ClaimWon,
        planner: Planner,
        loads: LoadSource | None,
        weights: Callable[[], Weights],
    ) -> None:
        super().__init__()
        record = claimed.record
        timing = cluster.timing
        max_duration = max(timing.grant, timing.view) * cluster.clock_rate_factor
        self._previous_grants_expire_at = (
            0.0 if claimed.is_first_leader else claimed.adopted_at + max_duration
        )
        self._claimed = claimed
        self._cluster = cluster
        self._state = ShardState(record)
        self._authority = Authority(record.roster)
        self._keepers: dict[str, GrantKeeper] = {}
        self._promises = PromiseKeeper(
            cluster, record.shard, record.leader_epoch, self._authority
        )
        writer = RecordWriter(
            cluster, self._state, self._authority, claimed.object_version
        )
        views = ViewServer(
            cluster,
            self._state,
            self._authority,
            self._keepers,
            self._previous_grants_expire_at,
        )
        self._context = ShardContext(
            cluster, self._state, self._authority, writer, self._keepers, views
        )
        self._target_renewers = GrantKeepers(
            self._context, self._previous_grants_expire_at
        )
        self._recovery = Recovery(self._state, self._previous_grants_expire_at)
        self._handover = Handover(self._context)
        self._failover = TargetFailover(self._context)
        self._drain = Leaving(self._context, self._handover)
        self._placement = Placement(
            self._context, self._handover, planner, loads, weights
        )
        self._recovery_done = asyncio.Event()
        self.authority_ended = asyncio.Event()
        """Set once the authority has ended; the leader then acts no more."""
        self.has_stood_down = False
        """Whether the leader resigned because only peers reach targets."""

    @property
    def context(self) -> ShardContext:
        """The leader's components."""
        return self._context

    @property
    def handover(self) -> Handover:
        """Carries out planned moves."""
        return self._handover

    @property
    def epoch(self) -> int:
        """The leader epoch."""
        return self._state.record.leader_epoch

    @property
    def previous_grants_expire_at(self) -> float:
        """The event loop time at which previous grants and views expire."""
        return self._previous_grants_expire_at

    @property
    def in_power(self) -> bool:
        """Whether the leader may act now."""
        return self._authority.is_valid

    async def on_start(self) -> None:
        """Block all grants until it is known which target holds a slice."""
        self._recovery.block_all_slices()

    async def on_stop(self) -> None:
        """Give up the authority."""
        self._authority.end()
        self._promises.stop()
        self._promises.resign()
        self.authority_ended.set()

    def answer_view(self, gateway: str, request: ViewRequest) -> ViewAnswer:
        """Answer a gateway that requests the view.

        Args:
            gateway: The gateway's host.
            request: The request, which names the view that the gateway has.

        Returns:
            The view, a renewal, or a refusal.
        """
        return self._context.views.answer(gateway, request)

    def dump(self) -> dict[str, object]:
        """Describe the leader for the state dump.

        Returns:
            Its epoch, authority, witnesses, targets and slices.
        """
        record = self._state.record
        return {
            "epoch": record.leader_epoch,
            "authority_seconds": self._authority.valid_until - now(),
            "roster": [witness.host for witness in record.roster],
            "version": record.version,
            "ahead_of_store": self._state.is_ahead_of_store,
            "targets": {
                name: {
                    "answers": keeper.answers,
                    "leaving": keeper.is_draining,
                    "checks": keeper.enforces_epochs,
                    "grant_seconds": keeper.grants_expire_at - now(),
                    "slices": len(self._state.entries_owned_by(name)),
                }
                for name, keeper in sorted(self._keepers.items())
            },
        }

    @mode.Service.task
    async def _lead(self) -> None:
        established, previous = await asyncio.gather(
            self._promises.establish(),
            request_previous_grants(self._cluster, self._claimed),
        )
        if not established:
            self._authority.end()
            self.authority_ended.set()
            return
        logger.info(
            "leadership taken",
            extra={"shard": str(self._state.record.shard), "epoch": self.epoch},
        )
        if previous is not None:
            expiries = {target.name: target for target in previous.targets}
            self._target_renewers.apply_previous_grants(expiries)
            self._recovery.apply_previous_grants(previous.slices, expiries)
            self._context.views.limit_previous_views(now() + previous.views_seconds)
        self.add_future(self._promises.run())
        surveys = [
            self.add_future(self._start_renewal(keeper))
            for keeper in self._target_renewers.add_missing()
        ]
        if surveys:
            await asyncio.wait(surveys, timeout=MAX_SURVEY_WAIT_SECONDS)
        self._context.views.open()
        self._recovery_done.set()

    async def _start_renewal(self, keeper: GrantKeeper) -> None:
        await self._recovery.recover_grants(keeper)
        self.add_future(keeper.run())

    @mode.Service.task
    async def _watch_authority(self) -> None:
        while not self.should_stop and not self._authority.has_ended:
            remaining = self._authority.valid_until - now()
            pause = (
                remaining if self._authority.is_valid else self._cluster.timing.renewal
            )
            await self.sleep(max(0.01, pause))
        self.authority_ended.set()

    @mode.Service.task
    async def _push_views(self) -> None:
        await self._context.views.push_changes()

    @mode.Service.task
    async def _watch_target_list(self) -> None:
        await self._recovery_done.wait()
        while not self.should_stop and not self._authority.has_ended:
            for keeper in self._target_renewers.add_missing():
                self.add_future(self._start_renewal(keeper))
            self._drain.update_from_host_list()
            await self.sleep(TARGET_LIST_CHECK_SECONDS)

    @mode.Service.task
    async def _watch_losses(self) -> None:
        await self._recovery_done.wait()
        while not self.should_stop and not self._authority.has_ended:
            await self._failover.replace_lost_targets()
            self._context.views.refresh()
            await self.sleep(LOSS_CHECK_SECONDS)

    @mode.Service.task
    async def _drain_targets(self) -> None:
        await self._recovery_done.wait()
        while not self.should_stop and not self._authority.has_ended:
            await self._drain.empty()
            await self.sleep(DRAINING_CHECK_SECONDS)

    @mode.Service.task
    async def _rebalance_placement(self) -> None:
        await self._recovery_done.wait()
        while not self.should_stop and not self._authority.has_ended:
            await self._placement.rebalance()
            await self.sleep(PLAN_INTERVAL_SECONDS)

    @mode.Service.task
    async def _repair_roster(self) -> None:
        await self._recovery_done.wait()
        roster = RosterMaintenance(self._context, self._promises)
        while not self.should_stop and not self._authority.has_ended:
            await roster.repair()
            await self.sleep(ROSTER_CHECK_SECONDS)

    @mode.Service.task
    async def _watch_reachability(self) -> None:
        """Stand down if no target answers this host but one answers a peer.

        The check needs at least two targets.
        """
        await self._recovery_done.wait()
        last_answer_at = now()
        while not self.should_stop and not self._authority.has_ended:
            keepers = self._keepers.values()
            if len(keepers) < 2 or any(keeper.answers for keeper in keepers):
                last_answer_at = now()
            if now() - last_answer_at >= UNRESPONSIVE_SECONDS:
                await self._stand_down_if_partitioned()
                last_answer_at = now()
            await self.sleep(LOSS_CHECK_SECONDS)

    async def _stand_down_if_partitioned(self) -> None:
        shard = self._state.record.shard
        targets = sorted(self._keepers)
        if not await any_peer_reaches_target(self._cluster, shard, self.epoch, targets):
            return
        logger.info(
            "leadership given up, only peers reach targets",
            extra={"shard": str(shard)},
        )
        self.has_stood_down = True
        self._authority.end()

    @mode.Service.task
    async def _flush(self) -> None:
        await self._recovery_done.wait()
        writer = self._context.writer
        while not self.should_stop and not self._authority.has_ended:
            if self._state.is_ahead_of_store or not writer.is_roster_settled:
                give_up_at = now() + FLUSH_TIMEOUT_SECONDS
                await writer.update(lambda record: record, give_up_at)
                self._context.views.refresh()
            await self.sleep(FLUSH_CHECK_SECONDS)
