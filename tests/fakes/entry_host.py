from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamway.ownership.host_context import HostContext
from balsamway.ownership.leadership_service import LeadershipService
from balsamway.ownership.store_relay import RelayedStore
from balsamway.ownership.view_client import ViewClient
from balsamway.ownership.witness_service import WitnessService
from balsamway.slices import Witness
from tests.fakes.planner import FakePlanner

if TYPE_CHECKING:
    from tests.fakes.fake_deployment import FakeDeployment


class EntryHost:
    """The ownership services of one entry host, connected to the fakes."""

    def __init__(self, deployment: FakeDeployment, name: str, incarnation: int) -> None:
        self.name = name
        self.me = Witness(name, incarnation)
        peers = deployment.network.peers(name)
        directory = deployment.hosts.directory(name)
        rng = random.Random(f"{deployment.seed}/{name}/{incarnation}")
        self.host_context = HostContext(
            self.me,
            RelayedStore(name, deployment.store_of(name), peers, directory, rng),
            peers,
            deployment.targets.control(name),
            directory,
            deployment.timing,
            rng,
        )
        self.witness = WitnessService(self.me, peers, deployment.timing)
        self.leadership = LeadershipService(
            self.host_context, deployment.configurations, lambda shard: FakePlanner()
        )
        self.views = ViewClient(self.host_context)

    async def start(self) -> None:
        await self.witness.start()
        await self.leadership.start()
        await self.views.start()

    async def stop(self) -> None:
        await self.leadership.stop()
        await self.views.stop()
        await self.witness.stop()
