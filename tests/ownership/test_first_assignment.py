from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.route import Route
from balsamway.slices import POSITION_END
from tests.fakes.fake_deployment import SHARD

pytestmark = pytest.mark.looptime


async def test_every_slice_gets_one_owner(deployment):
    async with deployment:
        assert deployment.unowned() == []
        assert deployment.overlaps() == []
        await asyncio.sleep(10)
        assert deployment.unowned() == []
        assert deployment.overlaps() == []


async def test_a_gateway_finds_the_owner(deployment):
    async with deployment:
        now = asyncio.get_running_loop().time
        for host in deployment.entry.values():
            route = await host.views.find(SHARD, POSITION_END // 3, now() + 1)
            assert isinstance(route, Route)
            assert deployment.owners(POSITION_END // 3) == [route.owner]
            with host.views.track_attempt(route) as valid:
                assert valid
