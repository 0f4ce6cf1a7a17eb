from __future__ import annotations

import asyncio

import pytest

from balsamway.balance import Move
from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime

LOST = [Fate.LOSE_ANSWER, Fate.APPLY_LATE, Fate.DROP, Fate.DOUBLE, Fate.CONFLICT]


def store_write(step):
    return (step.interface, step.operation) == ("store", "write")


async def test_at_rest_the_store_is_neither_written_nor_read():
    async with World(hosts=12) as world:
        await asyncio.sleep(10)
        world.store.counts.clear()
        await asyncio.sleep(60)
        assert world.store.counts == {}


async def test_a_long_outage_stops_nothing_that_is_granted():
    async with World() as world:
        await asyncio.sleep(3)
        epoch = world.leader.epoch
        world.store.outage = True
        world.store.counts.clear()
        assert await world.unavailable(60) == 0
        assert world.leader.epoch == epoch
        world.store.outage = False
        assert await world.unavailable(5) == 0
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
async def test_a_target_lost_in_an_outage_is_replaced_by_its_standby(checks):
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        world.store.outage = True
        await asyncio.sleep(5)
        lost = [one for one in world.record.slices if one.owner == "s1"]
        world.targets.targets["s1"].lose()
        assert await world.until_served() < 5
        leader = world.leader
        for entry in lost:
            assert world.owners(entry.range.start) == [entry.standby]
            acted_by = leader.context.state.entry(entry.range)
            assert acted_by.range in leader.context.state.provisional()
            assert acted_by.epoch in leader.context.state.record.reserved_epochs
        world.targets.targets["s1"].restart()
        await asyncio.sleep(5)
        world.store.outage = False
        await world.until(lambda: not leader.context.state.ahead, 10)
        assert {one.owner for one in world.record.slices} == {"s0", "s2", "s3"}
        assert await world.unavailable(5) == 0
        assert world.overlaps() == []


async def test_targets_lost_one_after_another_in_an_outage_are_replaced_in_time():
    async with World(targets=6) as world:
        await asyncio.sleep(3)
        world.store.outage = True
        await asyncio.sleep(1)
        first = world.record.slices[0].owner
        world.targets.targets[first].lose()
        assert await world.until_served() < 3.5
        await asyncio.sleep(10)
        held = {one.owner: one.standby for one in world.record.slices}
        second = next(owner for owner in held if first not in (owner, held[owner]))
        at = [one.range.start for one in world.record.slices if one.owner == second]
        world.targets.targets[second].lose()
        took = await world.until(lambda: all(world.owners(start) for start in at))
        assert took < 3.5
        assert world.overlaps() == []


async def test_a_target_lost_with_its_standby_in_an_outage_is_replaced():
    async with World(targets=4) as world:
        await asyncio.sleep(3)
        world.store.outage = True
        entry = world.record.slices[0]
        world.targets.targets[entry.owner].lose()
        world.targets.targets[entry.standby].lose()
        assert await world.until_served() < 5
        # The next leader finds out who holds what, though the record is old.
        host = world.leader_host
        world.store.outage = False
        world.store.cut_hosts.add(host)
        await world.lose_host(host)
        assert await world.unavailable(8) == 0
        assert world.overlaps() == []


async def test_a_target_lost_while_the_store_is_slow_is_replaced_in_time():
    async with World() as world:
        await asyncio.sleep(3)
        world.store.latency_seconds = 3.0
        await asyncio.sleep(5)
        world.targets.targets["s1"].lose()
        assert await world.until_served() < 3.5
        await asyncio.sleep(20)
        world.store.latency_seconds = 0.002
        await asyncio.sleep(5)
        assert world.unowned() == []
        assert world.overlaps() == []
        assert not world.leader.context.state.ahead


async def test_a_standby_activated_in_an_outage_outlives_its_leader():
    async with World() as world:
        await asyncio.sleep(3)
        lost = [one for one in world.record.slices if one.owner == "s1"]
        world.store.outage = True
        world.targets.targets["s1"].lose()
        await world.until_served()
        world.targets.targets["s1"].restart()
        await world.lose_host(world.leader_host)
        world.store.outage = False
        assert await world.unavailable(8) == 0
        for entry in lost:
            assert world.owners(entry.range.start) == [entry.standby]
        recorded = {one.range: one.owner for one in world.record.slices}
        assert all(recorded[one.range] == one.standby for one in lost)
        assert world.overlaps() == []


@pytest.mark.parametrize("fate", LOST)
@pytest.mark.parametrize("nth", [0, 1])
async def test_a_claim_survives_any_fate_of_its_write(fate, nth):
    async with World() as world:
        await asyncio.sleep(3)
        await world.lose_host(world.leader_host)
        seen = []
        world.faults.inject(
            Injection(lambda step: store_write(step) and len(seen) == nth, fate)
        )
        world.faults.inject(
            Injection(
                lambda step: store_write(step),
                times=nth,
                act=seen.append,
            )
        )
        await world.until(lambda: world.leader is not None, 10)
        await world.until_served(8)
        await asyncio.sleep(5)
        assert world.leader is not None
        assert world.unowned() == []
        assert world.overlaps() == []


@pytest.mark.parametrize("fate", LOST)
@pytest.mark.parametrize("step", ["intent", "commit"])
@pytest.mark.parametrize("checks", [True, False])
async def test_a_move_survives_any_fate_of_its_writes(fate, step, checks):
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        writes = []

        def is_meant(found):
            if not store_write(found):
                return False
            writes.append(found)
            return len(writes) == (1 if step == "intent" else 2)

        injection = world.faults.inject(Injection(is_meant, fate))
        told = await world.leader.handover.move([Move(entry.range, to)])
        assert injection.reached == 1
        await asyncio.sleep(6)
        assert world.unowned() == []
        assert world.overlaps() == []
        recorded = next(one for one in world.record.slices if one.range == entry.range)
        assert world.owners(entry.range.start) == [recorded.owner]
        if told:
            assert recorded.owner == to


async def test_a_move_told_in_effect_outlives_the_leader():
    async with World() as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await world.leader.handover.move([Move(entry.range, to)]) == 1
        await world.lose_host(world.leader_host)
        await asyncio.sleep(8)
        assert world.owners(entry.range.start) == [to]
        assert world.overlaps() == []


async def test_the_return_of_the_store_is_no_stampede():
    async with World(hosts=12) as world:
        await asyncio.sleep(5)
        world.store.outage = True
        await world.lose_host(world.leader_host)
        await asyncio.sleep(60)
        world.store.counts.clear()
        await asyncio.sleep(10)
        down = sum(world.store.counts.values())
        world.store.outage = False
        world.store.counts.clear()
        await world.until_served()
        assert down <= 12 * 10
        assert sum(world.store.counts.values()) <= 12 * 4
        assert SHARD.object_name in world.store.objects
