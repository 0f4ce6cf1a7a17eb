from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.claim import Claim, Claimed, NotClaimed
from balsamway.ownership.found_record import FoundRecord
from tests.fakes.fake_deployment import SHARD, FakeDeployment

pytestmark = pytest.mark.looptime


def found_in(deployment: FakeDeployment) -> FoundRecord:
    version = deployment.store.objects[SHARD.object_name].version
    return FoundRecord(deployment.record, version, 0.0)


async def test_a_claim_won_in_the_store_waits_for_a_majority_to_adopt():
    """The leader, cut from the store, is still extended by its witnesses."""
    async with FakeDeployment() as deployment:
        await asyncio.sleep(4)
        leader = deployment.leader
        deployment.store.cut_hosts.add(deployment.leader_host)
        others = [one for one in deployment.entry if one != deployment.leader_host]
        # Two witnesses out of five are free to adopt another epoch.
        deployment.network.partition({deployment.leader_host}, set(others[:2]))
        await asyncio.sleep(1.5)
        other = others[0]
        claim = Claim(deployment.entry[other].host_context, SHARD, 8)
        result = await claim.attempt(found_in(deployment))
        assert isinstance(result, NotClaimed)
        assert deployment.record.leader_epoch == leader.epoch + 1
        assert leader.in_power
        await deployment.lose_host(leader.context.host_context.own_witness.host)
        await deployment.until(lambda: deployment.leader is not None)
        await asyncio.sleep(8)
        assert deployment.leader.epoch > leader.epoch
        assert deployment.overlaps() == []
        assert deployment.unowned() == []


async def test_one_of_several_claims_at_once_is_won():
    async with FakeDeployment(hosts=7) as deployment:
        await asyncio.sleep(4)
        await deployment.lose_host(deployment.leader_host)
        await asyncio.sleep(1.3)
        found = found_in(deployment)
        claims = [
            Claim(host.host_context, SHARD, 8) for host in deployment.entry.values()
        ]
        results = await asyncio.gather(*(one.attempt(found) for one in claims))
        won = [one for one in results if isinstance(one, Claimed)]
        assert len(won) <= 1
        assert len({one.record.leader_epoch for one in won}) == len(won)


async def test_a_claim_never_takes_up_an_epoch_that_it_led_before():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(4)
        host = deployment.leader_host
        epoch = deployment.leader.epoch
        others = set(deployment.entry) - {host}
        deployment.network.partition({host}, others)
        deployment.store.cut_hosts |= others
        await asyncio.sleep(3)
        assert deployment.entry[host].leadership.led == ()
        deployment.network.heal()
        deployment.store.cut_hosts.clear()
        await deployment.until(lambda: deployment.leader is not None)
        assert deployment.leader.epoch > epoch
        await deployment.until_served()
        assert deployment.overlaps() == []
