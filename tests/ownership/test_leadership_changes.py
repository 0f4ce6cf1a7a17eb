from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.configuration import Weights
from balsamway.ownership.messages import PromiseRequest, Resignation
from tests.fakes.fake_deployment import FakeDeployment

pytestmark = pytest.mark.looptime


async def test_a_new_leader_that_reaches_no_target_stands_down():
    async with FakeDeployment(hosts=7) as deployment:
        first = deployment.leader.context.host_context.own_witness.host
        ranked = [name for name in deployment.entry if name != first]
        deployment.targets.down_hosts.update(ranked[:2])
        await deployment.lose_host(first)
        await asyncio.sleep(0.1)
        assert await deployment.until_served() < 5
        await asyncio.sleep(10)
        assert (
            deployment.leader.context.host_context.own_witness.host
            not in deployment.targets.down_hosts
        )
        assert deployment.overlaps() == []


async def test_changed_weights_reach_a_running_leader():
    async with FakeDeployment(hosts=3) as deployment:
        workspace = deployment.configurations.found["m"]
        changed = Weights(imbalance=5.0, unavailable_time=0.5)
        planned_weights = []
        planner = deployment.leader._placement._planner
        plan = planner.plan
        planner.plan = lambda state: (
            planned_weights.append(state.weights) or plan(state)
        )
        deployment.configurations.found["m"] = replace(workspace, weights=changed)
        await asyncio.sleep(4)
        assert planned_weights[-1] == changed


async def test_a_leader_that_resigns_is_replaced_before_its_promises_expire():
    async with FakeDeployment(hosts=5) as deployment:
        first = deployment.leader
        started = asyncio.get_running_loop().time()
        await first.stop()
        await deployment.until(lambda: deployment.leader not in (None, first))
        assert asyncio.get_running_loop().time() - started < deployment.timing.promise
        assert deployment.overlaps() == []


async def test_a_witness_gives_a_resigned_leader_no_late_promise():
    async with FakeDeployment(hosts=5) as deployment:
        shard = deployment.record.shard
        leader, epoch = deployment.record.leader, deployment.record.leader_epoch
        witness = next(
            candidate for candidate in deployment.record.roster if candidate != leader
        )
        peers = deployment.network.end(witness.host)
        await peers.call(witness.host, Resignation(shard, epoch, leader), 0.1)
        late = PromiseRequest(shard, epoch, leader, witness, 1.0)
        answer = await peers.call(witness.host, late, 1.0)
        assert (answer.given, answer.epoch) == (False, epoch)
