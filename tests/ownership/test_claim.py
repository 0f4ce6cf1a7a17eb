from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.claim import Claim, ClaimLost, ClaimWon
from balsamway.ownership.found_record import FoundRecord
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime


def read_record(world: World) -> FoundRecord:
    version = world.store.objects[SHARD.object_name].version
    return FoundRecord(world.record, version, 0.0)


async def test_a_claim_won_in_the_store_waits_for_a_majority_to_adopt():
    """A claim must not be won while the old leader still has its majority.

    The old leader cannot reach the store, so another host wins the write of
    the next epoch. Its witnesses still renew the old leader's authority.
    """
    async with World() as world:
        await asyncio.sleep(4)
        leader = world.leader
        world.store.cut_hosts.add(world.leader_host)
        others = [name for name in world.entry if name != world.leader_host]
        # Two witnesses of five can adopt another epoch.
        world.network.partition({world.leader_host}, set(others[:2]))
        await asyncio.sleep(1.5)
        claimant = others[0]
        claim = Claim(world.entry[claimant].cluster, SHARD, 8)
        result = await claim.attempt(read_record(world))
        assert isinstance(result, ClaimLost)
        assert world.record.leader_epoch == leader.epoch + 1
        assert leader.in_power
        await world.lose_host(leader.context.cluster.me.host)
        await world.until(lambda: world.leader is not None)
        await asyncio.sleep(8)
        assert world.leader.epoch > leader.epoch
        assert world.overlaps() == []
        assert world.unowned() == []


async def test_at_most_one_of_several_concurrent_claims_is_won():
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        await world.lose_host(world.leader_host)
        await asyncio.sleep(1.3)
        record = read_record(world)
        claims = [Claim(host.cluster, SHARD, 8) for host in world.entry.values()]
        results = await asyncio.gather(*(claim.attempt(record) for claim in claims))
        won = [result for result in results if isinstance(result, ClaimWon)]
        assert len(won) <= 1
        assert len({result.record.leader_epoch for result in won}) == len(won)


async def test_a_claim_never_leads_by_an_epoch_that_it_led_before():
    async with World() as world:
        await asyncio.sleep(4)
        host = world.leader_host
        epoch = world.leader.epoch
        others = set(world.entry) - {host}
        world.network.partition({host}, others)
        world.store.cut_hosts |= others
        await asyncio.sleep(3)
        assert world.entry[host].leadership.led == ()
        world.network.heal()
        world.store.cut_hosts.clear()
        await world.until(lambda: world.leader is not None)
        assert world.leader.epoch > epoch
        await world.until_served()
        assert world.overlaps() == []
