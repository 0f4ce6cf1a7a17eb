from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.configuration import Weights
from balsamway.ownership.messages import PromiseRequest, Resignation
from tests.fakes.world import World

pytestmark = pytest.mark.looptime


async def test_a_new_leader_that_reaches_no_target_stands_down():
    async with World(hosts=7) as world:
        first = world.leader.context.cluster.me.host
        ranked = [name for name in world.entry if name != first]
        world.targets.down_hosts.update(ranked[:2])
        await world.lose_host(first)
        await asyncio.sleep(0.1)
        assert await world.until_served() < 5
        await asyncio.sleep(10)
        assert world.leader.context.cluster.me.host not in world.targets.down_hosts
        assert world.overlaps() == []


async def test_changed_weights_reach_a_running_leader():
    async with World(hosts=3) as world:
        workspace = world.configurations.found["m"]
        changed = Weights(imbalance=5.0, unavailable_time=0.5)
        planned_weights = []
        planner = world.leader._placement._planner
        plan = planner.plan
        planner.plan = lambda state: (
            planned_weights.append(state.weights) or plan(state)
        )
        world.configurations.found["m"] = replace(workspace, weights=changed)
        await asyncio.sleep(4)
        assert planned_weights[-1] == changed


async def test_a_leader_that_resigns_is_replaced_before_its_promises_expire():
    async with World(hosts=5) as world:
        first = world.leader
        started = asyncio.get_running_loop().time()
        await first.stop()
        await world.until(lambda: world.leader not in (None, first))
        assert asyncio.get_running_loop().time() - started < world.timing.promise
        assert world.overlaps() == []


async def test_a_witness_gives_a_resigned_leader_no_late_promise():
    async with World(hosts=5) as world:
        shard = world.record.shard
        leader, epoch = world.record.leader, world.record.leader_epoch
        witness = next(
            candidate for candidate in world.record.roster if candidate != leader
        )
        peers = world.network.end(witness.host)
        await peers.call(witness.host, Resignation(shard, epoch, leader), 0.1)
        late = PromiseRequest(shard, epoch, leader, witness, 1.0)
        answer = await peers.call(witness.host, late, 1.0)
        assert (answer.given, answer.epoch) == (False, epoch)
