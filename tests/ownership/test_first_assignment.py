from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.route import Route
from balsamway.slices import POSITION_END
from tests.fakes.world import SHARD

pytestmark = pytest.mark.looptime


async def test_every_slice_gets_one_owner(world):
    async with world:
        assert world.unowned() == []
        assert world.overlaps() == []
        await asyncio.sleep(10)
        assert world.unowned() == []
        assert world.overlaps() == []


async def test_a_gateway_finds_the_owner(world):
    async with world:
        now = asyncio.get_running_loop().time
        for host in world.entry.values():
            route = await host.views.find(SHARD, POSITION_END // 3, now() + 1)
            assert isinstance(route, Route)
            assert world.owners(POSITION_END // 3) == [route.owner]
            with host.views.attempt(route) as valid:
                assert valid
