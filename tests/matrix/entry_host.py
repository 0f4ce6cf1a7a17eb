from __future__ import annotations

import random
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry

from balsamway.configuration.configuration_service import ConfigurationService
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.gateway import Gateway
from balsamway.gateway.metrics import GatewayMetrics
from balsamway.gateway.target_pool import TargetPool
from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.membership.membership_service import MembershipService
from balsamway.ownership.host_context import HostContext
from balsamway.ownership.leadership_service import LeadershipService
from balsamway.ownership.view_client import ViewClient
from balsamway.ownership.witness_service import WitnessService
from balsamway.settings import Timing
from balsamway.slices import Witness
from tests.matrix.matrix_transport import MatrixTransport
from tests.matrix.no_load import NoLoad
from tests.matrix.process import Process
from tests.matrix.process_peers import ProcessPeers
from tests.matrix.spread_planner import SpreadPlanner

if TYPE_CHECKING:
    import mode

    from balsamway.store import Host
    from tests.matrix.matrix_deployment import MatrixDeployment


class EntryHost:
    """One incarnation of an entry host: real modules connected to fakes."""

    def __init__(
        self, deployment: MatrixDeployment, host: Host, incarnation: int
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.process = Process(f"{host.name}-{incarnation}")
        rng = random.Random(f"{deployment.seed}/{host.name}/{incarnation}")
        store = deployment.store.client(host.name)
        peers = ProcessPeers(deployment.network.peers(host.name), self.process)
        host_list = deployment.hosts.client(host.name)
        self.membership = MembershipService(
            host, incarnation, host_list, deployment.entry_list, rng
        )
        self.membership.connect(peers)
        self.configuration = ConfigurationService(
            host.name, host.zone, store, peers, self.membership, rng
        )
        self.host_context = HostContext(
            own_witness=Witness(host.name, incarnation),
            store=store,
            peers=peers,
            control=deployment.targets.control(host.name),
            directory=self.membership,
            timing=Timing(),
            rng=rng,
        )
        self.witness = WitnessService(
            self.host_context.own_witness, peers, self.host_context.timing
        )
        self.leadership = LeadershipService(
            self.host_context, self.configuration, lambda shard: SpreadPlanner()
        )
        self.membership.set_leadership_source(self._claims)
        self.views = ViewClient(self.host_context)
        self.gateway = self._new_gateway(deployment, rng)

    @property
    def name(self) -> str:
        return self.host.name

    @property
    def services(self) -> tuple[mode.Service, ...]:
        return (
            self.membership,
            self.configuration,
            self.witness,
            self.leadership,
            self.views,
        )

    async def start(self) -> None:
        for service in self.services:
            await self.process.start(service.start())

    def crashes(self) -> list[str]:
        return [
            f"{self.name}: {service.label}: {service.crash_reason!r}"
            for service in self.services
            if service.crash_reason is not None
        ]

    def _claims(self) -> tuple[LeadershipClaim, ...]:
        return tuple(
            LeadershipClaim(led_shard.shard, led_shard.epoch)
            for led_shard in self.leadership.led
        )

    def _new_gateway(self, deployment: MatrixDeployment, rng: random.Random) -> Gateway:
        budget = ConnectionBudget(self.name, self.membership, self.configuration)
        pool = TargetPool(self.membership, budget, rng)
        return Gateway(
            pool,
            self.views,
            MatrixTransport(deployment.targets, self.name),
            NoLoad(),
            GatewayMetrics(CollectorRegistry()),
            self.host.zone,
            rng,
        )
