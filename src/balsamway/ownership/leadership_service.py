"""Takes part in the leadership of every shard."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeAlias

import mode

from balsamway.clock import now
from balsamway.membership.workspace_directory import WorkspaceDirectory
from balsamway.membership.workspace_zones import WorkspaceZones
from balsamway.ownership.claim import Claim, Claimed
from balsamway.ownership.follower import Follower
from balsamway.ownership.last_grants import LastGrants
from balsamway.ownership.messages import (
    LapseAnswer,
    LapseRequest,
    ReachAnswer,
    ReachRequest,
    ViewAnswer,
    ViewRequest,
)
from balsamway.ownership.reach import answer_reach
from balsamway.ownership.roster_choice import ROSTER_SIZE
from balsamway.ownership.shard_leader import ShardLeader
from balsamway.slices import ShardId

if TYPE_CHECKING:
    from balsamway.balance import Planner
    from balsamway.configuration import Service, Weights, WorkspaceConfiguration
    from balsamway.configuration.configurations import Configurations
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.load_source import LoadSource

logger = logging.getLogger(__name__)

CONFIGURATION_CHECK_SECONDS = 0.5
STAND_DOWN_SECONDS = 5.0
"""How long a host that reached no target leaves a shard to others."""
FIRST_ROSTER_SECONDS = 3.0
"""How long the first claim of a shard waits for a full roster."""
FIRST_ROSTER_PAUSE_SECONDS = 0.1

PlannerFactory: TypeAlias = Callable[[ShardId], "Planner"]


@dataclass(frozen=True, slots=True)
class LedShard:
    """A shard that this host leads now."""

    shard: ShardId
    epoch: int


class LeadershipService(mode.Service):
    """Follows each shard's leader, claims those left without, and leads.

    Args:
        host_context: This host and its surroundings.
        configurations: The configurations in force.
        planner_factory: Makes the planner of a shard that is to be led.
        loads: The loads that gateways reported; None where nothing reports.
    """

    def __init__(
        self,
        host_context: HostContext,
        configurations: Configurations,
        planner_factory: PlannerFactory,
        loads: LoadSource | None = None,
    ) -> None:
        super().__init__()
        self._host_context = host_context
        self._configurations = configurations
        self._planner_factory = planner_factory
        self._loads = loads
        self._tasks: dict[ShardId, asyncio.Future[Any]] = {}
        self._leaders: dict[ShardId, ShardLeader] = {}
        self._last_grants: dict[ShardId, LastGrants] = {}
        """Of the last leader of each shard here whose authority has ended."""

    @property
    def led(self) -> tuple[LedShard, ...]:
        """The shards that this host leads, in order."""
        return tuple(
            LedShard(shard, leader.epoch)
            for shard, leader in sorted(self._leaders.items())
            if leader.in_power
        )

    async def on_start(self) -> None:
        """Answers gateways that ask for views."""
        self._host_context.peers.register_handler(ViewRequest, self._on_view_request)
        self._host_context.peers.register_handler(ReachRequest, self._on_reach_request)
        self._host_context.peers.register_handler(LapseRequest, self._on_lapse_request)

    async def on_stop(self) -> None:
        """Gives up every leadership."""
        for task in self._tasks.values():
            task.cancel()
        for leader in list(self._leaders.values()):
            await leader.stop()

    def leader(self, shard: ShardId) -> ShardLeader | None:
        """Finds the leader that runs on this host.

        Args:
            shard: The shard.

        Returns:
            The leader, or None where this host does not lead the shard.
        """
        return self._leaders.get(shard)

    def dump(self) -> dict[str, object]:
        """Describes the shards led here for the state dump.

        Returns:
            The state of each leader, by shard.
        """
        return {str(shard): one.dump() for shard, one in self._leaders.items()}

    @mode.Service.task
    async def _follow_configurations(self) -> None:
        while not self.should_stop:
            wanted = dict(self._wanted())
            for shard in wanted.keys() - self._tasks.keys():
                work = self._run_shard(shard, wanted[shard])
                self._tasks[shard] = self.add_future(work)
            for shard in self._tasks.keys() - wanted.keys():
                self._tasks.pop(shard).cancel()
                leader = self._leaders.pop(shard, None)
                if leader is not None:
                    await leader.stop()
            await self.sleep(CONFIGURATION_CHECK_SECONDS)

    def _wanted(self) -> list[tuple[ShardId, Service]]:
        zone = self._host_context.zones[self._host_context.own_witness.host]
        return [
            (ShardId(workspace.workspace, service.name, index), service)
            for workspace in self._configurations.workspaces()
            if zone in workspace.zone_names
            for service in workspace.services
            if service.exclusive_keys
            for index in range(service.shards)
        ]

    async def _run_shard(self, shard: ShardId, service: Service) -> None:
        host_context = self._workspace_host_context(shard.workspace)
        follower = Follower(host_context, shard)
        claim = Claim(host_context, shard, service.slices)
        while not self.should_stop:
            found = await follower.wait_until_claimable()
            if found.record is None:
                await self._wait_for_witnesses(host_context, shard.workspace)
            result = await claim.attempt(found)
            match result:
                case Claimed():
                    await self._lead(shard, result)
                case _:
                    logger.info(
                        "claim not won",
                        extra={"shard": str(shard), "reason": result.reason},
                    )
                    await self.sleep(self._host_context.rng.random() * 0.1)

    async def _wait_for_witnesses(
        self, host_context: HostContext, workspace: str
    ) -> None:
        # Entry hosts that start together know of each other a moment later;
        # a first roster of one host would tie the shard to it.
        configuration = self._configurations.workspace(workspace)
        zones = configuration.zones if configuration is not None else ()
        planned = sum(zone.entry_hosts for zone in zones)
        wanted = min(planned, ROSTER_SIZE)
        give_up_at = now() + FIRST_ROSTER_SECONDS
        while now() < give_up_at and not self.should_stop:
            if len(host_context.directory.live_witnesses()) >= wanted:
                return
            await self.sleep(FIRST_ROSTER_PAUSE_SECONDS)

    async def _lead(self, shard: ShardId, claimed: Claimed) -> None:
        workspace = self._configurations.workspace(shard.workspace)
        if workspace is None:
            return
        leader = self._new_leader(shard, claimed, workspace)
        self._leaders[shard] = leader
        try:
            await leader.start()
            await leader.wait(leader.lapsed)
        finally:
            self._leaders.pop(shard, None)
            leader.context.authority.end()
            self._last_grants[shard] = LastGrants(leader)
            await leader.stop()
        if leader.stood_down:
            await self.sleep(STAND_DOWN_SECONDS)

    def _new_leader(
        self, shard: ShardId, claimed: Claimed, workspace: WorkspaceConfiguration
    ) -> ShardLeader:
        planner = self._planner_factory(shard)
        host_context = self._workspace_host_context(shard.workspace)
        return ShardLeader(
            host_context,
            claimed,
            planner,
            self._loads,
            lambda: self._weights_of(workspace),
        )

    def _weights_of(self, workspace: WorkspaceConfiguration) -> Weights:
        found = self._configurations.workspace(workspace.workspace)
        return (found or workspace).weights

    def _workspace_host_context(self, workspace: str) -> HostContext:
        zones = WorkspaceZones(self._configurations, workspace)
        directory = WorkspaceDirectory(self._host_context.directory, zones.current)
        return replace(self._host_context, directory=directory)

    async def _on_reach_request(
        self, sender: str, request: ReachRequest
    ) -> ReachAnswer:
        return await answer_reach(self._host_context, request)

    async def _on_lapse_request(
        self, sender: str, request: LapseRequest
    ) -> LapseAnswer | None:
        leader = self._leaders.get(request.shard)
        found = self._last_grants.get(request.shard)
        if leader is not None and leader.context.authority.ended:
            found = LastGrants(leader)
        if found is None or (found.leader, found.epoch) != (
            request.leader,
            request.epoch,
        ):
            return None
        return found.answer()

    async def _on_view_request(self, sender: str, request: ViewRequest) -> ViewAnswer:
        leader = self._leaders.get(request.shard)
        if leader is None:
            return ViewAnswer(None, False, 0.0, "not the leader")
        return leader.answer_view(sender, request)
