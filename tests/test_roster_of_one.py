from __future__ import annotations

import asyncio

import pytest

from tests.fakes.world import World

pytestmark = pytest.mark.looptime

GROWN_SECONDS = 10.0


async def test_a_roster_of_one_grows_under_its_leader():
    async with World(hosts=1) as world:
        epoch = world.record.leader_epoch
        await world.start_host("h1")
        await world.start_host("h2")
        await asyncio.sleep(GROWN_SECONDS)
        assert len(world.record.roster) == 3
        assert world.record.leader_epoch == epoch
        assert world.unowned() == []
