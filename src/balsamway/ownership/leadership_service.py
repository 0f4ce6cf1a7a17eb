"""This host's part in the leadership of every shard."""

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
from balsamway.ownership.claim import Claim, ClaimWon
from balsamway.ownership.leader_monitor import LeaderMonitor
from balsamway.ownership.messages import (
    LapseAnswer,
    LapseRequest,
    ReachAnswer,
    ReachRequest,
    ViewAnswer,
    ViewRequest,
)
from balsamway.ownership.previous_grants import PreviousGrants
from balsamway.ownership.reach import answer_reach_request
from balsamway.ownership.roster_choice import MAX_ROSTER_SIZE
from balsamway.ownership.shard_leader import ShardLeader
from balsamway.slices import ShardId

if TYPE_CHECKING:
    from balsamway.balance import Planner
    from balsamway.configuration import Service, Weights, WorkspaceConfiguration
    from balsamway.configuration.configurations import Configurations
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.load_source import LoadSource

logger = logging.getLogger(__name__)

CONFIGURATION_CHECK_SECONDS = 0.5
"""The interval at which the configurations are checked for shards."""
STAND_DOWN_SECONDS = 5.0
"""How long a host that reached no target leaves the shard to other hosts."""
FIRST_ROSTER_TIMEOUT_SECONDS = 3.0
"""How long the first claim of a shard waits for a full roster."""
FIRST_ROSTER_CHECK_SECONDS = 0.1
"""The interval at which that claim counts the live witnesses."""

PlannerFactory: TypeAlias = Callable[[ShardId], "Planner"]


@dataclass(frozen=True, slots=True)
class LedShard:
    """A shard that this host leads, and its leader epoch."""

    shard: ShardId
    epoch: int


class LeadershipService(mode.Service):
    """Monitors each shard's leader, claims shards without one, and leads them.

    Args:
        cluster: This host's identity and interfaces.
        configurations: The configurations in force.
        planner_factory: Creates the planner for a shard that this host leads.
        loads: The loads that gateways reported; None if none are reported.
    """

    def __init__(
        self,
        cluster: Cluster,
        configurations: Configurations,
        planner_factory: PlannerFactory,
        loads: LoadSource | None = None,
    ) -> None:
        super().__init__()
        self._cluster = cluster
        self._configurations = configurations
        self._planner_factory = planner_factory
        self._loads = loads
        self._tasks: dict[ShardId, asyncio.Future[Any]] = {}
        self._leaders: dict[ShardId, ShardLeader] = {}
        self._previous_grants: dict[ShardId, PreviousGrants] = {}
        """The grants of the last leader of each shard here that has ended."""

    @property
    def led(self) -> tuple[LedShard, ...]:
        """The shards that this host leads, sorted by identifier."""
        return tuple(
            LedShard(shard, leader.epoch)
            for shard, leader in sorted(self._leaders.items())
            if leader.in_power
        )

    async def on_start(self) -> None:
        """Register the handlers for messages of gateways and other leaders."""
        self._cluster.peers.handle(ViewRequest, self._on_view_request)
        self._cluster.peers.handle(ReachRequest, self._on_reach_request)
        self._cluster.peers.handle(LapseRequest, self._on_lapse_request)

    async def on_stop(self) -> None:
        """Give up the leadership of every shard."""
        for task in self._tasks.values():
            task.cancel()
        for leader in list(self._leaders.values()):
            await leader.stop()

    def leader(self, shard: ShardId) -> ShardLeader | None:
        """Return the leader of a shard that runs on this host.

        Args:
            shard: The shard.

        Returns:
            The leader; None if this host does not lead the shard.
        """
        return self._leaders.get(shard)

    def dump(self) -> dict[str, object]:
        """Describe the shards led here for the state dump.

        Returns:
            The state of each leader, by shard.
        """
        return {str(shard): leader.dump() for shard, leader in self._leaders.items()}

    @mode.Service.task
    async def _follow_configurations(self) -> None:
        while not self.should_stop:
            shards = dict(self._candidate_shards())
            for shard in shards.keys() - self._tasks.keys():
                work = self._run_shard(shard, shards[shard])
                self._tasks[shard] = self.add_future(work)
            for shard in self._tasks.keys() - shards.keys():
                self._tasks.pop(shard).cancel()
                leader = self._leaders.pop(shard, None)
                if leader is not None:
                    await leader.stop()
            await self.sleep(CONFIGURATION_CHECK_SECONDS)

    def _candidate_shards(self) -> list[tuple[ShardId, Service]]:
        zone = self._cluster.zones[self._cluster.me.host]
        return [
            (ShardId(workspace.workspace, service.name, index), service)
            for workspace in self._configurations.workspaces()
            if zone in workspace.zone_names
            for service in workspace.services
            if service.exclusive_keys
            for index in range(service.shards)
        ]

    async def _run_shard(self, shard: ShardId, service: Service) -> None:
        cluster = self._workspace_cluster(shard.workspace)
        monitor = LeaderMonitor(cluster, shard)
        claim = Claim(cluster, shard, service.slices)
        while not self.should_stop:
            found = await monitor.wait_until_claimable()
            if found.record is None:
                await self._wait_for_witnesses(cluster, shard.workspace)
            result = await claim.attempt(found)
            match result:
                case ClaimWon():
                    await self._lead(shard, result)
                case _:
                    logger.info(
                        "claim not won",
                        extra={"shard": str(shard), "reason": result.reason},
                    )
                    await self.sleep(self._cluster.rng.random() * 0.1)

    async def _wait_for_witnesses(self, cluster: Cluster, workspace: str) -> None:
        # Entry hosts that start together learn of each other a moment later.
        # If the first roster had one host only, the shard could not be led
        # without that host.
        configuration = self._configurations.workspace(workspace)
        zones = configuration.zones if configuration is not None else ()
        entry_host_count = sum(zone.entry_hosts for zone in zones)
        roster_size = min(entry_host_count, MAX_ROSTER_SIZE)
        give_up_at = now() + FIRST_ROSTER_TIMEOUT_SECONDS
        while now() < give_up_at and not self.should_stop:
            if len(cluster.directory.live_witnesses()) >= roster_size:
                return
            await self.sleep(FIRST_ROSTER_CHECK_SECONDS)

    async def _lead(self, shard: ShardId, claimed: ClaimWon) -> None:
        workspace = self._configurations.workspace(shard.workspace)
        if workspace is None:
            return
        leader = self._new_leader(shard, claimed, workspace)
        self._leaders[shard] = leader
        try:
            await leader.start()
            await leader.wait(leader.authority_ended)
        finally:
            self._leaders.pop(shard, None)
            leader.context.authority.end()
            self._previous_grants[shard] = PreviousGrants(leader)
            await leader.stop()
        if leader.has_stood_down:
            await self.sleep(STAND_DOWN_SECONDS)

    def _new_leader(
        self, shard: ShardId, claimed: ClaimWon, workspace: WorkspaceConfiguration
    ) -> ShardLeader:
        planner = self._planner_factory(shard)
        cluster = self._workspace_cluster(shard.workspace)
        return ShardLeader(
            cluster,
            claimed,
            planner,
            self._loads,
            lambda: self._current_weights(workspace),
        )

    def _current_weights(self, workspace: WorkspaceConfiguration) -> Weights:
        current = self._configurations.workspace(workspace.workspace)
        return (current or workspace).weights

    def _workspace_cluster(self, workspace: str) -> Cluster:
        zones = WorkspaceZones(self._configurations, workspace)
        directory = WorkspaceDirectory(self._cluster.directory, zones.current)
        return replace(self._cluster, directory=directory)

    async def _on_reach_request(
        self, sender: str, request: ReachRequest
    ) -> ReachAnswer:
        return await answer_reach_request(self._cluster, request)

    async def _on_lapse_request(
        self, sender: str, request: LapseRequest
    ) -> LapseAnswer | None:
        leader = self._leaders.get(request.shard)
        previous = self._previous_grants.get(request.shard)
        if leader is not None and leader.context.authority.has_ended:
            previous = PreviousGrants(leader)
        if previous is None or (previous.leader, previous.epoch) != (
            request.leader,
            request.epoch,
        ):
            return None
        return previous.answer()

    async def _on_view_request(self, sender: str, request: ViewRequest) -> ViewAnswer:
        leader = self._leaders.get(request.shard)
        if leader is None:
            return ViewAnswer(None, False, 0.0, "not the leader")
        return leader.answer_view(sender, request)
