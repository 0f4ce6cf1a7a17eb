from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.claim import Claim, ClaimLost, ClaimWon
from balsamway.ownership.found_record import FoundRecord
from tests.fakes.fake_deployment import SHARD, FakeDeployment

pytestmark = pytest.mark.looptime


def read_record(deployment: FakeDeployment) -> FoundRecord:
    version = deployment.store.objects[SHARD.object_name].version
    return FoundRecord(deployment.record, version, 0.0)


async def test_a_claim_won_in_the_store_waits_for_a_majority_to_adopt():
    """A claim must not be won while the old leader still has its majority.

    The old leader cannot reach the store, so another host wins the write of
    the next epoch. Its witnesses still renew the old leader's authority.
    """
    async with FakeDeployment() as deployment:
        await asyncio.sleep(4)
        leader = deployment.leader
        deployment.store.cut_hosts.add(deployment.leader_host)
        others = [name for name in deployment.entry if name != deployment.leader_host]
        # Two witnesses of five can adopt another epoch.
        deployment.network.partition({deployment.leader_host}, set(others[:2]))
        await asyncio.sleep(1.5)
        claimant = others[0]
        claim = Claim(deployment.entry[claimant].host_context, SHARD, 8)
        result = await claim.attempt(read_record(deployment))
        assert isinstance(result, ClaimLost)
        assert deployment.record.leader_epoch == leader.epoch + 1
        assert leader.in_power
        await deployment.lose_host(leader.context.host_context.own_witness.host)
        await deployment.until(lambda: deployment.leader is not None)
        await asyncio.sleep(8)
        assert deployment.leader.epoch > leader.epoch
        assert deployment.overlaps() == []
        assert deployment.unowned() == []


async def test_at_most_one_of_several_concurrent_claims_is_won():
    async with FakeDeployment(hosts=7) as deployment:
        await asyncio.sleep(4)
        await deployment.lose_host(deployment.leader_host)
        await asyncio.sleep(1.3)
        record = read_record(deployment)
        claims = [
            Claim(host.host_context, SHARD, 8) for host in deployment.entry.values()
        ]
        results = await asyncio.gather(*(claim.attempt(record) for claim in claims))
        won = [result for result in results if isinstance(result, ClaimWon)]
        assert len(won) <= 1
        assert len({result.record.leader_epoch for result in won}) == len(won)


async def test_a_claim_never_leads_by_an_epoch_that_it_led_before():
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
