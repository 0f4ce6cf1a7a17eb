from __future__ import annotations

import asyncio

import pytest

from balsamway.balance import Move
from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime

WRITE_FAULTS = [
    Fate.LOSE_ANSWER,
    Fate.APPLY_LATE,
    Fate.DROP,
    Fate.DOUBLE,
    Fate.CONFLICT,
]


def is_store_write(step):
    return (step.interface, step.operation) == ("store", "write")


async def test_at_rest_the_store_is_neither_written_nor_read():
    async with World(hosts=12) as world:
        await asyncio.sleep(10)
        world.store.counts.clear()
        await asyncio.sleep(60)
        assert world.store.counts == {}


async def test_a_long_outage_of_the_store_ends_no_grant():
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
        lost = [entry for entry in world.record.slices if entry.owner == "s1"]
        world.targets.targets["s1"].lose()
        assert await world.until_served() < 5
        leader = world.leader
        for entry in lost:
            assert world.owners(entry.range.start) == [entry.standby]
            in_force = leader.context.state.find_entry(entry.range)
            assert in_force.range in leader.context.state.provisional()
            assert in_force.epoch in leader.context.state.record.reserved_epochs
        world.targets.targets["s1"].restart()
        await asyncio.sleep(5)
        world.store.outage = False
        await world.until(lambda: not leader.context.state.is_ahead_of_store, 10)
        assert {entry.owner for entry in world.record.slices} == {"s0", "s2", "s3"}
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
        standbys = {entry.owner: entry.standby for entry in world.record.slices}
        second = next(
            owner for owner in standbys if first not in (owner, standbys[owner])
        )
        starts = [
            entry.range.start for entry in world.record.slices if entry.owner == second
        ]
        world.targets.targets[second].lose()
        seconds = await world.until(
            lambda: all(world.owners(start) for start in starts)
        )
        assert seconds < 3.5
        assert world.overlaps() == []


async def test_a_target_lost_with_its_standby_in_an_outage_is_replaced():
    async with World(targets=4) as world:
        await asyncio.sleep(3)
        world.store.outage = True
        entry = world.record.slices[0]
        world.targets.targets[entry.owner].lose()
        world.targets.targets[entry.standby].lose()
        assert await world.until_served() < 5
        # The next leader surveys the targets, as the record is out of date.
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
        assert not world.leader.context.state.is_ahead_of_store


async def test_a_standby_activated_in_an_outage_outlives_its_leader():
    async with World() as world:
        await asyncio.sleep(3)
        lost = [entry for entry in world.record.slices if entry.owner == "s1"]
        world.store.outage = True
        world.targets.targets["s1"].lose()
        await world.until_served()
        world.targets.targets["s1"].restart()
        await world.lose_host(world.leader_host)
        world.store.outage = False
        assert await world.unavailable(8) == 0
        for entry in lost:
            assert world.owners(entry.range.start) == [entry.standby]
        recorded = {entry.range: entry.owner for entry in world.record.slices}
        assert all(recorded[entry.range] == entry.standby for entry in lost)
        assert world.overlaps() == []


@pytest.mark.parametrize("fate", WRITE_FAULTS)
@pytest.mark.parametrize("nth", [0, 1])
async def test_a_claim_survives_any_outcome_of_its_write(fate, nth):
    async with World() as world:
        await asyncio.sleep(3)
        await world.lose_host(world.leader_host)
        earlier_writes = []
        world.faults.inject(
            Injection(
                lambda step: is_store_write(step) and len(earlier_writes) == nth, fate
            )
        )
        world.faults.inject(
            Injection(
                lambda step: is_store_write(step),
                times=nth,
                act=earlier_writes.append,
            )
        )
        await world.until(lambda: world.leader is not None, 10)
        await world.until_served(8)
        await asyncio.sleep(5)
        assert world.leader is not None
        assert world.unowned() == []
        assert world.overlaps() == []


@pytest.mark.parametrize("fate", WRITE_FAULTS)
@pytest.mark.parametrize("step", ["intent", "commit"])
@pytest.mark.parametrize("checks", [True, False])
async def test_a_move_survives_any_outcome_of_its_writes(fate, step, checks):
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        writes = []

        def is_chosen_write(step_found):
            if not is_store_write(step_found):
                return False
            writes.append(step_found)
            return len(writes) == (1 if step == "intent" else 2)

        injection = world.faults.inject(Injection(is_chosen_write, fate))
        moved_count = await world.leader.handover.move([Move(entry.range, to)])
        assert injection.reached == 1
        await asyncio.sleep(6)
        assert world.unowned() == []
        assert world.overlaps() == []
        recorded = next(
            found for found in world.record.slices if found.range == entry.range
        )
        assert world.owners(entry.range.start) == [recorded.owner]
        if moved_count:
            assert recorded.owner == to


async def test_a_move_reported_as_done_survives_the_loss_of_the_leader():
    async with World() as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await world.leader.handover.move([Move(entry.range, to)]) == 1
        await world.lose_host(world.leader_host)
        await asyncio.sleep(8)
        assert world.owners(entry.range.start) == [to]
        assert world.overlaps() == []


async def test_hosts_call_the_store_seldom_during_and_after_an_outage():
    async with World(hosts=12) as world:
        await asyncio.sleep(5)
        world.store.outage = True
        await world.lose_host(world.leader_host)
        await asyncio.sleep(60)
        world.store.counts.clear()
        await asyncio.sleep(10)
        calls_in_outage = sum(world.store.counts.values())
        world.store.outage = False
        world.store.counts.clear()
        await world.until_served()
        assert calls_in_outage <= 12 * 10
        assert sum(world.store.counts.values()) <= 12 * 4
        assert SHARD.object_name in world.store.objects
