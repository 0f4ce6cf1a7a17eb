from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamway.ownership.cluster import Cluster
from balsamway.ownership.leadership_service import LeadershipService
from balsamway.ownership.store_relay import RelayedStore
from balsamway.ownership.view_keeper import ViewKeeper
from balsamway.ownership.witness_service import WitnessService
from balsamway.slices import Witness
from tests.fakes.planner import FakePlanner

if TYPE_CHECKING:
    from tests.fakes.world import World


class EntryHost:
    """The ownership services of one entry host, over the fakes."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.name = name
        self.me = Witness(name, incarnation)
        peers = world.network.peers(name)
        directory = world.hosts.directory(name)
        rng = random.Random(f"{world.seed}/{name}/{incarnation}")
        self.cluster = Cluster(
            self.me,
            RelayedStore(name, world.store_of(name), peers, directory, rng),
            peers,
            world.targets.control(name),
            directory,
            world.timing,
            rng,
        )
        self.witness = WitnessService(self.me, peers, world.timing)
        self.leadership = LeadershipService(
            self.cluster, world.configurations, lambda shard: FakePlanner()
        )
        self.views = ViewKeeper(self.cluster)

    async def start(self) -> None:
        await self.witness.start()
        await self.leadership.start()
        await self.views.start()

    async def stop(self) -> None:
        await self.leadership.stop()
        await self.views.stop()
        await self.witness.stop()
