from __future__ import annotations

import asyncio

import pytest

from balsamway.ownership.roster_choice import MAX_ROSTER_SIZE, choose_roster
from balsamway.slices import Witness
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.fake_deployment import SHARD, FakeDeployment
from tests.fakes.faults import Injection

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
    async with FakeDeployment(hosts=7) as deployment:
        await deployment.until(lambda: len(deployment.record.roster) == MAX_ROSTER_SIZE)
        assert deployment.overlaps() == []


async def test_a_lost_witness_is_replaced_within_seconds():
    async with FakeDeployment(hosts=7) as deployment:
        await asyncio.sleep(4)
        roster = {witness.host for witness in deployment.record.roster}
        lost = sorted(roster - {deployment.leader_host})[0]
        await deployment.lose_host(lost)
        await deployment.until(
            lambda: lost not in {witness.host for witness in deployment.record.roster},
            6,
        )
        assert len(deployment.record.roster) == MAX_ROSTER_SIZE
        assert deployment.unowned() == []


async def test_a_restarted_witness_is_replaced_by_its_next_incarnation():
    async with FakeDeployment(hosts=5) as deployment:
        await asyncio.sleep(4)
        lost = next(name for name in deployment.entry if name != deployment.leader_host)
        await deployment.lose_host(lost)
        await deployment.start_host(lost)
        next_incarnation = deployment.entry[lost].me
        await deployment.until(lambda: next_incarnation in deployment.record.roster, 6)
        assert deployment.unowned() == []


@pytest.mark.parametrize("outcome", [CallOutcome.LOSE_ANSWER, CallOutcome.APPLY_LATE])
async def test_until_a_roster_write_is_settled_both_rosters_must_promise(outcome):
    async with FakeDeployment(hosts=7) as deployment:
        await asyncio.sleep(4)
        leader = deployment.leader
        rosters = []
        injection = Injection(is_store_write, outcome)
        injection.on_match = lambda step: rosters.append(
            leader.context.authority.rosters
        )
        deployment.faults.inject(injection)
        lost = next(
            witness.host
            for witness in deployment.record.roster
            if witness.host != deployment.leader_host
        )
        await deployment.lose_host(lost)
        await deployment.until(
            lambda: lost not in {witness.host for witness in deployment.record.roster},
            8,
        )
        assert len(rosters[0]) == 2
        await asyncio.sleep(3)
        assert deployment.leader is leader
        assert leader.context.authority.rosters == {deployment.record.roster}
        assert deployment.unowned() == []


async def test_a_shard_survives_the_restart_of_every_daemon():
    async with FakeDeployment(hosts=5) as deployment:
        await asyncio.sleep(4)
        for name in list(deployment.entry):
            await deployment.lose_host(name)
        await asyncio.sleep(0.5)
        for name in ["h0", "h1", "h2", "h3", "h4"]:
            await deployment.start_host(name)
        await deployment.until_served(8)
        await asyncio.sleep(5)
        assert deployment.unowned() == []
        assert deployment.overlaps() == []


async def test_partitioned_witnesses_do_not_count_as_restarted():
    """Hosts that cannot reach a majority must not replace the roster.

    The leader keeps its majority on the other side of the partition.
    """
    async with FakeDeployment(hosts=7) as deployment:
        await asyncio.sleep(4)
        leader = deployment.leader
        group = {witness.host for witness in deployment.record.roster} | {
            deployment.leader_host
        }
        deployment.network.partition(group, set(deployment.entry) - group)
        assert await deployment.unavailable(20) == 0
        assert deployment.leader is leader
        assert deployment.overlaps() == []


async def test_a_leader_survives_the_loss_of_two_witnesses_at_once():
    async with FakeDeployment(hosts=5) as deployment:
        await asyncio.sleep(4)
        epoch = deployment.leader.epoch
        others = [name for name in deployment.entry if name != deployment.leader_host]
        for name in others[:2]:
            await deployment.lose_host(name)
        assert await deployment.unavailable(6) == 0
        assert deployment.leader.epoch == epoch


async def test_a_roster_of_one_witness_grows_under_the_same_leader():
    deployment = FakeDeployment(hosts=1)
    await deployment.start()
    await deployment.until_served()
    assert len(deployment.record.roster) == 1
    epoch = deployment.record.leader_epoch
    for name in ("h1", "h2", "h3", "h4"):
        await deployment.start_host(name)
    await deployment.until(lambda: len(deployment.record.roster) == MAX_ROSTER_SIZE)
    await asyncio.sleep(5)
    assert deployment.record.leader_epoch == epoch
    assert deployment.leader is not None
    await deployment.stop()
