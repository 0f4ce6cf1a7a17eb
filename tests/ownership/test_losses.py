from __future__ import annotations

import asyncio

import pytest

from tests.fakes.call_outcome import CallOutcome
from tests.fakes.fake_deployment import FakeDeployment
from tests.fakes.faults import Injection

pytestmark = pytest.mark.looptime

MAX_TARGET_LOSS_SECONDS = 3.5
"""The longest time without an owner after the loss of a target."""
MAX_LEADER_AND_TARGET_LOSS_SECONDS = 5.0
"""The longest time without an owner if the leader is lost as well."""
MAX_DRAIN_SECONDS = 3.0
"""The longest time in which the slices of a draining target are moved."""


def slice_starts_of(deployment: FakeDeployment, *targets: str) -> list[int]:
    slices = deployment.record.slices
    return [entry.range.start for entry in slices if entry.owner in targets]


def slice_starts_of_others(deployment: FakeDeployment, *targets: str) -> list[int]:
    slices = deployment.record.slices
    return [entry.range.start for entry in slices if entry.owner not in targets]


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_lost_target_is_replaced(checks, moment):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(5 + moment)
        others = slice_starts_of_others(deployment, "s1")
        deployment.targets.targets["s1"].lose()
        others_unavailable = asyncio.create_task(deployment.unavailable(6, others))
        assert await deployment.until_served() < MAX_TARGET_LOSS_SECONDS
        assert await others_unavailable == 0
        assert deployment.overlaps() == []
        assert slice_starts_of(deployment, "s1") == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_nothing_is_unavailable_when_the_leader_is_lost(checks, moment):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(5 + moment)
        epoch = deployment.leader.epoch
        await deployment.lose_host(deployment.leader_host)
        assert await deployment.unavailable(8) == 0
        assert deployment.leader.epoch == epoch + 1
        assert deployment.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_target_lost_with_the_leader_is_replaced(checks, moment):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(5 + moment)
        others = slice_starts_of_others(deployment, "s2")
        deployment.targets.targets["s2"].lose()
        await deployment.lose_host(deployment.leader_host)
        others_unavailable = asyncio.create_task(deployment.unavailable(8, others))
        assert await deployment.until_served() < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        assert await others_unavailable == 0
        assert deployment.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("moment", [0.0, 0.11, 0.23, 0.37])
async def test_a_leader_is_partitioned_from_targets_as_a_lost_targets_grant_expires(
    checks, moment
):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(5 + moment)
        lost_at = asyncio.get_running_loop().time()
        deployment.targets.targets["s1"].lose()
        activation = Injection(
            lambda step: (
                step.operation == "write" and b'"owner":"s1"' not in step.detail
            ),
            on_match=lambda step: deployment.targets.down_hosts.add(step.source),
        )
        deployment.faults.inject(activation)
        await deployment.until(lambda: activation.match_count == 1)
        partitioned_at = asyncio.get_running_loop().time()
        await deployment.until_served()
        served_at = asyncio.get_running_loop().time()
        assert served_at - lost_at < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        # The next leader need not wait for a full grant duration.
        assert served_at - partitioned_at < deployment.timing.grant
        assert deployment.overlaps() == []


async def test_a_target_that_resumes_after_a_freeze_owns_nothing(deployment):
    async with deployment:
        target = deployment.targets.targets["s1"]
        await asyncio.sleep(3)
        target.freeze()
        await asyncio.sleep(20)
        assert deployment.unowned() == []
        target.thaw()
        await asyncio.sleep(5)
        assert deployment.overlaps() == []
        assert deployment.unowned() == []


async def test_a_target_without_fencing_that_resumes_after_a_freeze_owns_nothing(
    deployment_without_fencing,
):
    async with deployment_without_fencing as deployment:
        target = deployment.targets.targets["s1"]
        await asyncio.sleep(3)
        target.freeze()
        await asyncio.sleep(20)
        target.thaw()
        await asyncio.sleep(5)
        assert deployment.overlaps() == []
        assert deployment.unowned() == []


@pytest.mark.parametrize("reported_by", ["list", "target"])
async def test_a_draining_target_loses_its_slices_without_unavailability(
    deployment, reported_by
):
    async with deployment:
        await asyncio.sleep(3)
        slice_count = len(slice_starts_of(deployment, "s0"))
        assert slice_count > 0
        if reported_by == "list":
            deployment.hosts.leaving.add("s0")
        else:
            deployment.targets.targets["s0"].leaving = True
        unavailable = asyncio.create_task(deployment.unavailable(5))
        seconds = await deployment.until(
            lambda: slice_starts_of(deployment, "s0") == []
        )
        assert seconds < MAX_DRAIN_SECONDS
        # A move pauses requests; the slice has no owner during that pause.
        assert await unavailable < 0.1
        assert deployment.overlaps() == []


@pytest.mark.parametrize("checks", [True, False])
async def test_a_draining_target_loses_its_slices_while_the_store_is_unavailable(
    checks,
):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(4)
        deployment.store.outage = True
        deployment.targets.targets["s0"].leaving = True
        state = deployment.leader.context.state
        seconds = await deployment.until(lambda: state.entries_owned_by("s0") == [])
        assert seconds < MAX_DRAIN_SECONDS
        await deployment.until_served(1)
        deployment.store.outage = False
        await deployment.until(lambda: slice_starts_of(deployment, "s0") == [], 10)
        assert deployment.overlaps() == []


async def test_the_next_leader_completes_an_interrupted_first_assignment():
    deployment = FakeDeployment()
    commit = Injection(
        lambda step: step.operation == "write" and b'"owner":"s' in step.detail,
        CallOutcome.DROP,
        on_match=lambda step: deployment.isolate(step.source),
    )
    deployment.faults.inject(commit)
    async with deployment:
        assert commit.match_count == 1
        assert all(not entry.moving_to for entry in deployment.record.slices)


@pytest.mark.parametrize("moment", [0.0, 0.17, 0.31])
async def test_a_leader_that_reaches_no_target_leaves_the_shard_to_another_host(moment):
    async with FakeDeployment() as deployment:
        await asyncio.sleep(4 + moment)
        host = deployment.leader_host
        deployment.targets.cut |= {
            (host, target) for target in deployment.targets.targets
        }
        assert await deployment.unavailable(12) < MAX_LEADER_AND_TARGET_LOSS_SECONDS
        assert deployment.leader_host != host
        assert deployment.unowned() == []
        assert deployment.overlaps() == []


async def test_the_loss_of_all_targets_changes_the_leader_at_most_once():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(4)
        epoch = deployment.leader.epoch
        for target in deployment.targets.targets.values():
            target.lose()
        await asyncio.sleep(30)
        assert deployment.leader.epoch <= epoch + 1


async def test_a_leader_superseded_while_partitioned_does_nothing_more(deployment):
    async with deployment:
        await asyncio.sleep(3)
        host = deployment.leader_host
        deployment.isolate(host)
        assert await deployment.unavailable(8) == 0
        deployment.rejoin(host)
        await asyncio.sleep(5)
        assert deployment.overlaps() == []
        assert deployment.leader_host != host
        assert deployment.entry[host].leadership.led == ()
