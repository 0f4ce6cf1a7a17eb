from __future__ import annotations

import asyncio

import pytest

from tests.fakes.fake_deployment import FakeDeployment

pytestmark = pytest.mark.looptime

GROWN_SECONDS = 10.0


async def test_a_roster_of_one_grows_under_its_leader():
    async with FakeDeployment(hosts=1) as deployment:
        epoch = deployment.record.leader_epoch
        await deployment.start_host("h1")
        await deployment.start_host("h2")
        await asyncio.sleep(GROWN_SECONDS)
        assert len(deployment.record.roster) == 3
        assert deployment.record.leader_epoch == epoch
        assert deployment.unowned() == []
