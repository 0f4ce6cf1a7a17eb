from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.roster_choice import MAX_ROSTER_SIZE, choose_roster
from balsamway.slices import Witness
from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime


def is_store_write(step):
    return step.interface == "store" and step.operation == "write"


def test_a_roster_is_spread_over_availability_zones():
    witnesses = [Witness(f"h{number}", 1) for number in range(12)]
    zones = {
        witness.host: f"z{number // 4}" for number, witness in enumerate(witnesses)
    }
    roster = choose_roster(witnesses, zones, SHARD)
    counts = [
        [zones[witness.host] for witness in roster].count(f"z{n}") for n in range(3)
    ]
    assert sorted(counts) == [1, 2, 2]


@pytest.mark.parametrize("live, size", [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (9, 5)])
def test_a_roster_has_an_odd_number_of_witnesses(live, size):
    witnesses = [Witness(f"h{number}", 1) for number in range(live)]
    assert len(choose_roster(witnesses, {}, SHARD)) == size


async def test_the_roster_grows_with_the_number_of_hosts():
    async with World(hosts=7) as world:
        await world.until(lambda: len(world.record.roster) == MAX_ROSTER_SIZE)
        assert world.overlaps() == []


async def test_a_lost_witness_is_replaced_within_seconds():
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        roster = {witness.host for witness in world.record.roster}
        lost = sorted(roster - {world.leader_host})[0]
        await world.lose_host(lost)
        await world.until(
            lambda: lost not in {witness.host for witness in world.record.roster}, 6
        )
        assert len(world.record.roster) == MAX_ROSTER_SIZE
        assert world.unowned() == []


async def test_a_restarted_witness_is_replaced_by_its_next_incarnation():
    async with World(hosts=5) as world:
        await asyncio.sleep(4)
        lost = next(name for name in world.entry if name != world.leader_host)
        await world.lose_host(lost)
        await world.start_host(lost)
        next_incarnation = world.entry[lost].me
        await world.until(lambda: next_incarnation in world.record.roster, 6)
        assert world.unowned() == []


@pytest.mark.parametrize("fate", [Fate.LOSE_ANSWER, Fate.APPLY_LATE])
async def test_until_a_roster_write_is_settled_both_rosters_must_promise(fate):
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        leader = world.leader
        rosters = []
        injection = Injection(is_store_write, fate)
        injection.act = lambda step: rosters.append(leader.context.authority.rosters)
        world.faults.inject(injection)
        lost = next(
            witness.host
            for witness in world.record.roster
            if witness.host != world.leader_host
        )
        await world.lose_host(lost)
        await world.until(
            lambda: lost not in {witness.host for witness in world.record.roster}, 8
        )
        assert len(rosters[0]) == 2
        await asyncio.sleep(3)
        assert world.leader is leader
        assert leader.context.authority.rosters == {world.record.roster}
        assert world.unowned() == []


async def test_a_shard_survives_the_restart_of_every_daemon():
    async with World(hosts=5) as world:
        await asyncio.sleep(4)
        for name in list(world.entry):
            await world.lose_host(name)
        await asyncio.sleep(0.5)
        for name in ["h0", "h1", "h2", "h3", "h4"]:
            await world.start_host(name)
        await world.until_served(8)
        await asyncio.sleep(5)
        assert world.unowned() == []
        assert world.overlaps() == []


async def test_partitioned_witnesses_do_not_count_as_restarted():
    """Hosts that cannot reach a majority must not replace the roster.

    The leader keeps its majority on the other side of the partition.
    """
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        leader = world.leader
        group = {witness.host for witness in world.record.roster} | {world.leader_host}
        world.network.partition(group, set(world.entry) - group)
        assert await world.unavailable(20) == 0
        assert world.leader is leader
        assert world.overlaps() == []


async def test_a_leader_survives_the_loss_of_two_witnesses_at_once():
    async with World(hosts=5) as world:
        await asyncio.sleep(4)
        epoch = world.leader.epoch
        others = [name for name in world.entry if name != world.leader_host]
        for name in others[:2]:
            await world.lose_host(name)
        assert await world.unavailable(6) == 0
        assert world.leader.epoch == epoch


async def test_a_roster_of_one_witness_grows_under_the_same_leader():
    world = World(hosts=1)
    await world.start()
    await world.until_served()
    assert len(world.record.roster) == 1
    epoch = world.record.leader_epoch
    for name in ("h1", "h2", "h3", "h4"):
        await world.start_host(name)
    await world.until(lambda: len(world.record.roster) == MAX_ROSTER_SIZE)
    await asyncio.sleep(5)
    assert world.record.leader_epoch == epoch
    assert world.leader is not None
    await world.stop()
