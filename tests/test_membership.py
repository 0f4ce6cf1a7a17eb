from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.membership.membership_service import MembershipService
from balsamway.slices import ShardId, Witness
from balsamway.store import Host, HostRole, HostState
from tests.fakes.faults import Faults
from tests.fakes.host_list import FakeHostList
from tests.fakes.network import FakeNetwork

SHARD = ShardId("m", "s")
STOCK = Host("stock-1", HostRole.TARGET, "z1", "127.0.0.1:1", "m", "stock")


def entry(name: str) -> Host:
    return Host(name, HostRole.ENTRY, "z1", f"{name}:1")


class Deployment:
    def __init__(self) -> None:
        self.network = FakeNetwork(Faults())
        self.listed = FakeHostList((entry("a"), entry("b"), entry("c"), STOCK))

    async def start(self, name, incarnation=1, host_list=None, seeds=()):
        service = MembershipService(
            entry(name), incarnation, host_list or self.listed, seeds, random.Random(1)
        )
        service.connect(self.network.peers(name))
        await service.start()
        return service


@pytest.fixture
def deployment():
    return Deployment()


@pytest.mark.looptime
async def test_hosts_learn_of_each_other_and_of_targets(deployment):
    services = [await deployment.start(name) for name in "abc"]
    await asyncio.sleep(2)
    assert services[0].live_witnesses() == tuple(Witness(name, 1) for name in "abc")
    assert services[0].targets("m", "stock") == (STOCK,)
    assert services[0].targets("other", "stock") == ()


@pytest.mark.looptime
async def test_a_lost_host_is_no_witness_within_two_seconds(deployment):
    first, *_ = [await deployment.start(name) for name in "abc"]
    await asyncio.sleep(2)
    deployment.network.down.add("c")
    await asyncio.sleep(2)
    assert [witness.host for witness in first.live_witnesses()] == ["a", "b"]


@pytest.mark.looptime
async def test_a_restarted_host_is_another_witness(deployment):
    first = await deployment.start("a")
    old = await deployment.start("b", incarnation=1)
    await asyncio.sleep(1)
    await old.stop()
    await deployment.start("b", incarnation=2)
    await asyncio.sleep(1)
    assert Witness("b", 2) in first.live_witnesses()
    assert Witness("b", 1) not in first.live_witnesses()


@pytest.mark.looptime
async def test_the_highest_claim_names_the_leader(deployment):
    first, second, third = [await deployment.start(name) for name in "abc"]
    second.set_leadership_source(lambda: (LeadershipClaim(SHARD, 4),))
    third.set_leadership_source(lambda: (LeadershipClaim(SHARD, 5),))
    await asyncio.sleep(1)
    assert first.leader_of(SHARD) == "c"
    deployment.network.down.add("c")
    await asyncio.sleep(2)
    assert first.leader_of(SHARD) == "b"


@pytest.mark.looptime
async def test_a_leaving_target_is_known_to_all_before_the_list_says_so(deployment):
    first, second = [await deployment.start(name) for name in "ab"]
    await asyncio.sleep(1)
    second.mark_leaving("stock-1")
    await asyncio.sleep(1)
    assert first.targets("m", "stock")[0].state is HostState.LEAVING


@pytest.mark.looptime
async def test_a_target_that_came_back_under_its_name_gets_work_again(deployment):
    first, second = [await deployment.start(name) for name in "ab"]
    await asyncio.sleep(1)
    second.mark_leaving("stock-1")
    await asyncio.sleep(8)
    assert first.targets("m", "stock")[0].state is HostState.LIVE


@pytest.mark.looptime
async def test_an_outage_of_the_platform_keeps_the_last_list(deployment):
    first = await deployment.start("a")
    await asyncio.sleep(1)
    deployment.listed.outage = True
    await asyncio.sleep(600)
    assert first.targets("m", "stock") == (STOCK,)


@pytest.mark.looptime
async def test_a_host_started_in_an_outage_copies_the_list_from_a_peer(deployment):
    await deployment.start("a")
    await asyncio.sleep(1)
    away = FakeHostList()
    away.outage = True
    late = await deployment.start("b", host_list=away, seeds=(entry("a"),))
    await asyncio.sleep(3)
    assert late.targets("m", "stock") == (STOCK,)


@pytest.mark.looptime
async def test_a_target_off_the_list_can_still_be_found_for_a_while(deployment):
    first = await deployment.start("a")
    await asyncio.sleep(1)
    deployment.listed.listed = (entry("a"),)
    await asyncio.sleep(5)
    assert first.targets("m", "stock") == ()
    assert first.target("stock-1") == STOCK
    await asyncio.sleep(200)
    assert first.target("stock-1") is None


@pytest.mark.looptime
async def test_a_stopping_host_is_no_witness_at_once(deployment):
    first, second = [await deployment.start(name) for name in "ab"]
    await asyncio.sleep(1)
    second.announce_stopping()
    await asyncio.sleep(0.1)
    assert [witness.host for witness in first.live_witnesses()] == ["a"]


@pytest.mark.looptime
async def test_heartbeats_carry_the_new_address_of_a_host(deployment):
    first, second = [await deployment.start(name) for name in "ab"]
    second.update_own_host(dataclasses.replace(second.host, address="b:2"))
    await asyncio.sleep(1)
    assert first.address_of("b") == "b:2"
