from __future__ import annotations

import asyncio

import pytest

from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.world import World

pytestmark = pytest.mark.looptime

TARGET_LOSS_SECONDS = 3.5
LEADER_AND_TARGET_LOSS_SECONDS = 5.0
LEAVING_SECONDS = 3.0


def starts_of(world: World, *targets: str) -> list[int]:
    slices = world.record.slices
    return [one.range.start for one in slices if one.owner in targets]


def starts_of_others(world: World, *targets: str) -> list[int]:
    slices = world.record.slices
    return [one.range.start for one in slices if one.owner not in targets]


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_lost_target_is_replaced(checks, moment):
    async with World(checks=checks) as world:
        await asyncio.sleep(5 + moment)
        others = starts_of_others(world, "s1")
        world.targets.targets["s1"].lose()
        of_others = asyncio.create_task(world.unavailable(6, others))
        assert await world.until_served() < TARGET_LOSS_SECONDS
        assert await of_others == 0
        assert world.overlaps() == []
        assert starts_of(world, "s1") == []


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
        others = starts_of_others(world, "s2")
        world.targets.targets["s2"].lose()
        await world.lose_host(world.leader_host)
        of_others = asyncio.create_task(world.unavailable(8, others))
        assert await world.until_served() < LEADER_AND_TARGET_LOSS_SECONDS
        assert await of_others == 0
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_leader_is_cut_off_from_targets_as_a_lost_ones_grant_lapses(
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
        cut_at = asyncio.get_running_loop().time()
        await world.until_served()
        served_at = asyncio.get_running_loop().time()
        assert served_at - lost_at < LEADER_AND_TARGET_LOSS_SECONDS
        # The next leader need not wait until a whole grant has passed.
        assert served_at - cut_at < world.timing.grant
        assert world.overlaps() == []


async def test_a_frozen_target_returns_without_owning_anything(world):
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


async def test_a_frozen_unchecked_target_returns_without_owning_anything(
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


@pytest.mark.parametrize("said_by", ["list", "target"])
async def test_a_leaving_target_is_emptied_without_an_unavailable_moment(
    world, said_by
):
    async with world:
        await asyncio.sleep(3)
        held = len(starts_of(world, "s0"))
        assert held > 0
        if said_by == "list":
            world.hosts.leaving.add("s0")
        else:
            world.targets.targets["s0"].leaving = True
        unavailable = asyncio.create_task(world.unavailable(5))
        took = await world.until(lambda: starts_of(world, "s0") == [])
        assert took < LEAVING_SECONDS
        # The hold of a move, in which gateways let requests wait.
        assert await unavailable < 0.1
        assert world.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
async def test_a_leaving_target_is_emptied_while_the_store_is_down(checks):
    async with World(checks=checks) as world:
        await asyncio.sleep(4)
        world.store.outage = True
        world.targets.targets["s0"].leaving = True
        state = world.leader.context.state
        took = await world.until(lambda: state.owned_by("s0") == [])
        assert took < LEAVING_SECONDS
        await world.until_served(1)
        world.store.outage = False
        await world.until(lambda: starts_of(world, "s0") == [], 10)
        assert world.overlaps() == []


async def test_a_first_assignment_that_was_cut_short_is_made_by_the_next_leader():
    world = World()
    commit = Injection(
        lambda step: step.operation == "write" and b'"owner":"s' in step.detail,
        Fate.DROP,
        act=lambda step: world.isolate(step.source),
    )
    world.faults.inject(commit)
    async with world:
        assert commit.reached == 1
        assert all(not one.moving_to for one in world.record.slices)


@pytest.mark.parametrize("moment", [0.0, 0.17, 0.31])
async def test_a_leader_that_reaches_no_target_leaves_the_shard_to_another(moment):
    async with World() as world:
        await asyncio.sleep(4 + moment)
        host = world.leader_host
        world.targets.cut |= {(host, target) for target in world.targets.targets}
        assert await world.unavailable(12) < LEADER_AND_TARGET_LOSS_SECONDS
        assert world.leader_host != host
        assert world.unowned() == []
        assert world.overlaps() == []


async def test_the_loss_of_all_targets_passes_a_shard_on_once_at_most():
    async with World() as world:
        await asyncio.sleep(4)
        epoch = world.leader.epoch
        for target in world.targets.targets.values():
            target.lose()
        await asyncio.sleep(30)
        assert world.leader.epoch <= epoch + 1


async def test_a_leader_superseded_while_cut_off_does_nothing_more(world):
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
