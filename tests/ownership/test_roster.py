from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.roster_choice import ROSTER_SIZE, choose_roster
from balsamway.slices import Witness
from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime


def roster_write(step):
    return step.interface == "store" and step.operation == "write"


def test_a_roster_is_spread_over_availability_zones():
    witnesses = [Witness(f"h{number}", 1) for number in range(12)]
    zones = {one.host: f"z{number // 4}" for number, one in enumerate(witnesses)}
    roster = choose_roster(witnesses, zones, SHARD)
    counts = [[zones[one.host] for one in roster].count(f"z{n}") for n in range(3)]
    assert sorted(counts) == [1, 2, 2]


@pytest.mark.parametrize("live, size", [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (9, 5)])
def test_a_roster_has_an_odd_number_of_witnesses(live, size):
    witnesses = [Witness(f"h{number}", 1) for number in range(live)]
    assert len(choose_roster(witnesses, {}, SHARD)) == size


async def test_the_roster_grows_with_the_hosts():
    async with World(hosts=7) as world:
        await world.until(lambda: len(world.record.roster) == ROSTER_SIZE)
        assert world.overlaps() == []


async def test_a_lost_witness_is_replaced_within_seconds():
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        roster = {one.host for one in world.record.roster}
        lost = sorted(roster - {world.leader_host})[0]
        await world.lose_host(lost)
        await world.until(
            lambda: lost not in {one.host for one in world.record.roster}, 6
        )
        assert len(world.record.roster) == ROSTER_SIZE
        assert world.unowned() == []


async def test_a_restarted_witness_is_replaced_by_its_next_run():
    async with World(hosts=5) as world:
        await asyncio.sleep(4)
        lost = next(one for one in world.entry if one != world.leader_host)
        await world.lose_host(lost)
        await world.start_host(lost)
        again = world.entry[lost].me
        await world.until(lambda: again in world.record.roster, 6)
        assert world.unowned() == []


@pytest.mark.parametrize("fate", [Fate.LOSE_ANSWER, Fate.APPLY_LATE])
async def test_until_a_roster_write_is_settled_both_rosters_must_promise(fate):
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        leader = world.leader
        rosters = []
        injection = Injection(roster_write, fate)
        injection.act = lambda step: rosters.append(leader.context.authority.rosters)
        world.faults.inject(injection)
        lost = next(
            one.host for one in world.record.roster if one.host != world.leader_host
        )
        await world.lose_host(lost)
        await world.until(
            lambda: lost not in {one.host for one in world.record.roster}, 8
        )
        assert len(rosters[0]) == 2
        await asyncio.sleep(3)
        assert world.leader is leader
        assert leader.context.authority.rosters == {world.record.roster}
        assert world.unowned() == []


async def test_a_shard_outlives_the_restart_of_every_daemon():
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


async def test_witnesses_that_are_only_cut_off_do_not_count_as_gone():
    """The leader keeps its majority, which the others cannot reach."""
    async with World(hosts=7) as world:
        await asyncio.sleep(4)
        leader = world.leader
        group = {one.host for one in world.record.roster} | {world.leader_host}
        world.network.partition(group, set(world.entry) - group)
        assert await world.unavailable(20) == 0
        assert world.leader is leader
        assert world.overlaps() == []


async def test_a_leader_survives_the_loss_of_two_witnesses_at_once():
    async with World(hosts=5) as world:
        await asyncio.sleep(4)
        epoch = world.leader.epoch
        others = [one for one in world.entry if one != world.leader_host]
        for name in others[:2]:
            await world.lose_host(name)
        assert await world.unavailable(6) == 0
        assert world.leader.epoch == epoch


async def test_a_roster_of_one_grows_under_one_leader():
    world = World(hosts=1)
    await world.start()
    await world.until_served()
    assert len(world.record.roster) == 1
    epoch = world.record.leader_epoch
    for name in ("h1", "h2", "h3", "h4"):
        await world.start_host(name)
    await world.until(lambda: len(world.record.roster) == ROSTER_SIZE)
    await asyncio.sleep(5)
    assert world.record.leader_epoch == epoch
    assert world.leader is not None
    await world.stop()
