from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.membership.membership_service import MembershipService
from balsamway.membership.target_prober import TargetProber
from balsamway.standins.target import TargetSettings, TargetStandin
from balsamway.store import Host, HostRole, HostState
from tests.fakes.faults import Faults
from tests.fakes.host_list import FakeHostList
from tests.fakes.network import FakeNetwork


@pytest.fixture
async def target():
    standin = TargetStandin(TargetSettings("stock-1", "z1", "m", "stock"))
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def membership(target):
    listed = FakeHostList((target.host,))
    me = Host("a", HostRole.ENTRY, "z1", "127.0.0.1:1")
    service = MembershipService(me, 1, listed, (), random.Random(1))
    service.connect(FakeNetwork(Faults()).peers("a"))
    await service.start()
    prober = TargetProber(service, lambda target: ["a"])
    await asyncio.sleep(0.1)
    await prober.start()
    yield service
    await prober.stop()
    await service.stop()


async def test_a_target_that_drains_is_leaving_although_listed_live(target, membership):
    assert membership.targets("m", "stock")[0].state is HostState.LIVE
    await target.leave()
    for _ in range(60):
        if membership.targets("m", "stock")[0].state is HostState.LEAVING:
            return
        await asyncio.sleep(0.05)
    pytest.fail("still live after three seconds")
