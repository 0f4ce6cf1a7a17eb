from __future__ import annotations

import asyncio

import pytest

from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import World

pytestmark = pytest.mark.looptime

MAX_TARGET_LOSS_SECONDS = 3.5
"""The longest time without an owner after the loss of a target."""
MAX_LEADER_AND_TARGET_LOSS_SECONDS = 5.0
"""The longest time without an owner if the leader is lost as well."""
MAX_DRAIN_SECONDS = 3.0
"""The longest time in which the slices of a draining target are moved."""


def slice_starts_of(world: World, *targets: str) -> list[int]:
    slices = world.record.slices
    return [entry.range.start for entry in slices if entry.owner in targets]


def slice_starts_of_others(world: World, *targets: str) -> list[int]:
    slices = world.record.slices
    return [entry.range.start for entry in slices if entry.owner not in targets]


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_lost_target_is_replaced(checks, moment):
    async with World(checks=checks) as world:
        await asyncio.sleep(5 + moment)
        others = slice_starts_of_others(world, "s1")
        world.targets.targets["s1"].lose()
        others_unavailable = asyncio.create_task(world.unavailable(6, others))
        assert await world.until_served() < MAX_TARGET_LOSS_SECONDS
        assert await others_unavailable == 0
        assert world.overlaps() == []
        assert slice_starts_of(world, "s1") == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_nothing_is_unavailable_when_the_leader_is_lost(checks, moment):
    async with World(checks=checks) as world:
        await asyncio.sleep(5 + moment)
        epoch = world.leader.epoch
        await world.lose_host(world.leader_host)
        assert await world.unavailable(8) == 0
        assert world.leader.epoch == epoch + 1
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_target_lost_with_the_leader_is_replaced(checks, moment):
    async with World(checks=checks) as world:
        await asyncio.sleep(5 + moment)
        others = slice_starts_of_others(world, "s2")
        world.targets.targets["s2"].lose()
        await world.lose_host(world.leader_host)
        others_unavailable = asyncio.create_task(world.unavailable(8, others))
        assert await world.until_served() < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        assert await others_unavailable == 0
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_leader_is_partitioned_from_targets_as_a_lost_targets_grant_expires(
    checks, moment
):
    async with World(checks=checks) as world:
        await asyncio.sleep(5 + moment)
        lost_at = asyncio.get_running_loop().time()
        world.targets.targets["s1"].lose()
        activation = Injection(
            lambda step: (
                step.operation == "write" and b'"owner":"s1"' not in step.detail
            ),
            act=lambda step: world.targets.down_hosts.add(step.source),
        )
        world.faults.inject(activation)
        await world.until(lambda: activation.reached == 1)
        partitioned_at = asyncio.get_running_loop().time()
        await world.until_served()
        served_at = asyncio.get_running_loop().time()
        assert served_at - lost_at < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        # The next leader need not wait for a full grant duration.
        assert served_at - partitioned_at < world.timing.grant
        assert world.overlaps() == []


async def test_a_target_that_resumes_after_a_freeze_owns_nothing(world):
    async with world:
        target = world.targets.targets["s1"]
        await asyncio.sleep(3)
        target.freeze()
        await asyncio.sleep(20)
        assert world.unowned() == []
        target.thaw()
        await asyncio.sleep(5)
        assert world.overlaps() == []
        assert world.unowned() == []


async def test_a_target_without_fencing_that_resumes_after_a_freeze_owns_nothing(
    unchecked_world,
):
    async with unchecked_world as world:
        target = world.targets.targets["s1"]
        await asyncio.sleep(3)
        target.freeze()
        await asyncio.sleep(20)
        target.thaw()
        await asyncio.sleep(5)
        assert world.overlaps() == []
        assert world.unowned() == []


@pytest.mark.parametrize("reported_by", ["list", "target"])
async def test_a_draining_target_loses_its_slices_without_unavailability(
    world, reported_by
):
    async with world:
        await asyncio.sleep(3)
        slice_count = len(slice_starts_of(world, "s0"))
        assert slice_count > 0
        if reported_by == "list":
            world.hosts.leaving.add("s0")
        else:
            world.targets.targets["s0"].leaving = True
        unavailable = asyncio.create_task(world.unavailable(5))
        seconds = await world.until(lambda: slice_starts_of(world, "s0") == [])
        assert seconds < MAX_DRAIN_SECONDS
        # A move pauses requests; the slice has no owner during that pause.
        assert await unavailable < 0.1
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
async def test_a_draining_target_loses_its_slices_while_the_store_is_unavailable(
    checks,
):
    async with World(checks=checks) as world:
        await asyncio.sleep(4)
        world.store.outage = True
        world.targets.targets["s0"].leaving = True
        state = world.leader.context.state
        seconds = await world.until(lambda: state.entries_owned_by("s0") == [])
        assert seconds < MAX_DRAIN_SECONDS
        await world.until_served(1)
        world.store.outage = False
        await world.until(lambda: slice_starts_of(world, "s0") == [], 10)
        assert world.overlaps() == []


async def test_the_next_leader_completes_an_interrupted_first_assignment():
    world = World()
    commit = Injection(
        lambda step: step.operation == "write" and b'"owner":"s' in step.detail,
        Fate.DROP,
        act=lambda step: world.isolate(step.source),
    )
    world.faults.inject(commit)
    async with world:
        assert commit.reached == 1
        assert all(not entry.moving_to for entry in world.record.slices)


@pytest.mark.parametrize("moment", [0.0, 0.17, 0.31])
async def test_a_leader_that_reaches_no_target_leaves_the_shard_to_another_host(moment):
    async with World() as world:
        await asyncio.sleep(4 + moment)
        host = world.leader_host
        world.targets.cut |= {(host, target) for target in world.targets.targets}
        assert await world.unavailable(12) < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        assert world.leader_host != host
        assert world.unowned() == []
        assert world.overlaps() == []


async def test_the_loss_of_all_targets_changes_the_leader_at_most_once():
    async with World() as world:
        await asyncio.sleep(4)
        epoch = world.leader.epoch
        for target in world.targets.targets.values():
            target.lose()
        await asyncio.sleep(30)
        assert world.leader.epoch <= epoch + 1


async def test_a_leader_superseded_while_partitioned_does_nothing_more(world):
    async with world:
        await asyncio.sleep(3)
        host = world.leader_host
        world.isolate(host)
        assert await world.unavailable(8) == 0
        world.rejoin(host)
        await asyncio.sleep(5)
        assert world.overlaps() == []
        assert world.leader_host != host
        assert world.entry[host].leadership.led == ()
