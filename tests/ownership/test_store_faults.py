from __future__ import annotations

import asyncio

import pytest

from balsamway.balance import Move
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.fake_deployment import SHARD, FakeDeployment
from tests.fakes.faults import Injection

pytestmark = pytest.mark.looptime

WRITE_FAULTS = [
    CallOutcome.LOSE_ANSWER,
    CallOutcome.APPLY_LATE,
    CallOutcome.DROP,
    CallOutcome.DOUBLE,
    CallOutcome.CONFLICT,
]


def is_store_write(step):
    return (step.interface, step.operation) == ("store", "write")


async def test_at_rest_the_store_is_neither_written_nor_read():
    async with FakeDeployment(hosts=12) as deployment:
        await asyncio.sleep(10)
        deployment.store.counts.clear()
        await asyncio.sleep(60)
        assert deployment.store.counts == {}


async def test_a_long_outage_of_the_store_ends_no_grant():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        epoch = deployment.leader.epoch
        deployment.store.outage = True
        deployment.store.counts.clear()
        assert await deployment.unavailable(60) == 0
        assert deployment.leader.epoch == epoch
        deployment.store.outage = False
        assert await deployment.unavailable(5) == 0
        assert deployment.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
async def test_a_target_lost_in_an_outage_is_replaced_by_its_standby(checks):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(3)
        deployment.store.outage = True
        await asyncio.sleep(5)
        lost = [entry for entry in deployment.record.slices if entry.owner == "s1"]
        deployment.targets.targets["s1"].lose()
        assert await deployment.until_served() < 5
        leader = deployment.leader
        for entry in lost:
            assert deployment.owners(entry.range.start) == [entry.standby]
            in_force = leader.context.state.find_entry(entry.range)
            assert in_force.range in leader.context.state.provisional()
            assert in_force.epoch in leader.context.state.record.reserved_epochs
        deployment.targets.targets["s1"].restart()
        await asyncio.sleep(5)
        deployment.store.outage = False
        await deployment.until(lambda: not leader.context.state.is_ahead_of_store, 10)
        assert {entry.owner for entry in deployment.record.slices} == {"s0", "s2", "s3"}
        assert await deployment.unavailable(5) == 0
        assert deployment.overlaps() == []


async def test_targets_lost_one_after_another_in_an_outage_are_replaced_in_time():
    async with FakeDeployment(targets=6) as deployment:
        await asyncio.sleep(3)
        deployment.store.outage = True
        await asyncio.sleep(1)
        first = deployment.record.slices[0].owner
        deployment.targets.targets[first].lose()
        assert await deployment.until_served() < 3.5
        await asyncio.sleep(10)
        standbys = {entry.owner: entry.standby for entry in deployment.record.slices}
        second = next(
            owner for owner in standbys if first not in (owner, standbys[owner])
        )
        starts = [
            entry.range.start
            for entry in deployment.record.slices
            if entry.owner == second
        ]
        deployment.targets.targets[second].lose()
        seconds = await deployment.until(
            lambda: all(deployment.owners(start) for start in starts)
        )
        assert seconds < 3.5
        assert deployment.overlaps() == []


async def test_a_target_lost_with_its_standby_in_an_outage_is_replaced():
    async with FakeDeployment(targets=4) as deployment:
        await asyncio.sleep(3)
        deployment.store.outage = True
        entry = deployment.record.slices[0]
        deployment.targets.targets[entry.owner].lose()
        deployment.targets.targets[entry.standby].lose()
        assert await deployment.until_served() < 5
        # The next leader surveys the targets, as the record is out of date.
        host = deployment.leader_host
        deployment.store.outage = False
        deployment.store.cut_hosts.add(host)
        await deployment.lose_host(host)
        assert await deployment.unavailable(8) == 0
        assert deployment.overlaps() == []


async def test_a_target_lost_while_the_store_is_slow_is_replaced_in_time():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        deployment.store.latency_seconds = 3.0
        await asyncio.sleep(5)
        deployment.targets.targets["s1"].lose()
        assert await deployment.until_served() < 3.5
        await asyncio.sleep(20)
        deployment.store.latency_seconds = 0.002
        await asyncio.sleep(5)
        assert deployment.unowned() == []
        assert deployment.overlaps() == []
        assert not deployment.leader.context.state.is_ahead_of_store


async def test_a_standby_activated_in_an_outage_outlives_its_leader():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        lost = [entry for entry in deployment.record.slices if entry.owner == "s1"]
        deployment.store.outage = True
        deployment.targets.targets["s1"].lose()
        await deployment.until_served()
        deployment.targets.targets["s1"].restart()
        await deployment.lose_host(deployment.leader_host)
        deployment.store.outage = False
        assert await deployment.unavailable(8) == 0
        for entry in lost:
            assert deployment.owners(entry.range.start) == [entry.standby]
        recorded = {entry.range: entry.owner for entry in deployment.record.slices}
        assert all(recorded[entry.range] == entry.standby for entry in lost)
        assert deployment.overlaps() == []


@pytest.mark.parametrize("outcome", WRITE_FAULTS)
@pytest.mark.parametrize("nth", [0, 1])
async def test_a_claim_survives_any_outcome_of_its_write(outcome, nth):
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        await deployment.lose_host(deployment.leader_host)
        earlier_writes = []
        deployment.faults.inject(
            Injection(
                lambda step: is_store_write(step) and len(earlier_writes) == nth,
                outcome,
            )
        )
        deployment.faults.inject(
            Injection(
                lambda step: is_store_write(step),
                times=nth,
                on_match=earlier_writes.append,
            )
        )
        await deployment.until(lambda: deployment.leader is not None, 10)
        await deployment.until_served(8)
        await asyncio.sleep(5)
        assert deployment.leader is not None
        assert deployment.unowned() == []
        assert deployment.overlaps() == []


@pytest.mark.parametrize("outcome", WRITE_FAULTS)
@pytest.mark.parametrize("step", ["intent", "commit"])
@pytest.mark.parametrize("checks", [True, False])
async def test_a_move_survives_any_outcome_of_its_writes(outcome, step, checks):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(3)
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        writes = []

        def is_chosen_write(step_found):
            if not is_store_write(step_found):
                return False
            writes.append(step_found)
            return len(writes) == (1 if step == "intent" else 2)

        injection = deployment.faults.inject(Injection(is_chosen_write, outcome))
        moved_count = await deployment.leader.handover.move([Move(entry.range, to)])
        assert injection.match_count == 1
        await asyncio.sleep(6)
        assert deployment.unowned() == []
        assert deployment.overlaps() == []
        recorded = next(
            found for found in deployment.record.slices if found.range == entry.range
        )
        assert deployment.owners(entry.range.start) == [recorded.owner]
        if moved_count:
            assert recorded.owner == to


async def test_a_move_reported_as_done_survives_the_loss_of_the_leader():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await deployment.leader.handover.move([Move(entry.range, to)]) == 1
        await deployment.lose_host(deployment.leader_host)
        await asyncio.sleep(8)
        assert deployment.owners(entry.range.start) == [to]
        assert deployment.overlaps() == []


async def test_hosts_call_the_store_seldom_during_and_after_an_outage():
    async with FakeDeployment(hosts=12) as deployment:
        await asyncio.sleep(5)
        deployment.store.outage = True
        await deployment.lose_host(deployment.leader_host)
        await asyncio.sleep(60)
        deployment.store.counts.clear()
        await asyncio.sleep(10)
        calls_in_outage = sum(deployment.store.counts.values())
        deployment.store.outage = False
        deployment.store.counts.clear()
        await deployment.until_served()
        assert calls_in_outage <= 12 * 10
        assert sum(deployment.store.counts.values()) <= 12 * 4
        assert SHARD.object_name in deployment.store.objects
