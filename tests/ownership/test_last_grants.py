from __future__ import annotations

import asyncio

import pytest

from balsamway.clock import now
from balsamway.ownership.messages import (
    GrantedSlice,
    LapseAnswer,
    LapseRequest,
    TargetLapse,
)
from balsamway.ownership.recovery import Recovery
from balsamway.ownership.shard_state import ShardState
from balsamway.slices import KeyRange, ShardId, ShardRecord, SliceEntry, Witness
from tests.fakes.fake_deployment import SHARD, FakeDeployment

pytestmark = pytest.mark.looptime

WHOLE_GRANT_SECONDS = 2.4
SLICE = KeyRange(0, 100)


def state_of(owner: str, epoch: int) -> ShardState:
    leader = Witness("h0", 1)
    slices = (SliceEntry(SLICE, owner, epoch),)
    return ShardState(ShardRecord(ShardId("m", "s", 0), 1, leader, 2, (), slices))


def shortened(state: ShardState, granted: GrantedSlice, **held: float) -> ShardState:
    recovery = Recovery(state, now() + WHOLE_GRANT_SECONDS)
    recovery.block_all()
    lapses = {name: TargetLapse(name, left, True) for name, left in held.items()}
    recovery.shorten([granted], lapses)
    return state


async def test_the_only_target_that_may_hold_a_slice_is_granted_it_at_once():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = shortened(state_of("s1", 7), granted, s1=2.0)
    assert [one.owner for one in state.grantable("s1")] == ["s1"]


async def test_an_owner_that_the_store_does_not_name_is_taken_over():
    granted = GrantedSlice(SLICE, "s2", 9, 0.0)
    state = shortened(state_of("s1", 7), granted, s1=0.0, s2=2.0)
    assert state.grantable("s1") == ()
    assert [one.epoch for one in state.grantable("s2")] == [9]


async def test_an_owner_that_was_written_but_not_granted_waits_for_the_last_one():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = shortened(state_of("s2", 9), granted, s1=1.5)
    await asyncio.sleep(1.4)
    assert state.grantable("s2") == ()
    await asyncio.sleep(0.2)
    assert [one.owner for one in state.grantable("s2")] == ["s2"]


async def test_a_holder_of_which_nothing_is_said_counts_for_a_whole_grant():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = shortened(state_of("s2", 9), granted)
    await asyncio.sleep(WHOLE_GRANT_SECONDS - 0.1)
    assert state.grantable("s2") == ()


async def test_what_earlier_leaders_may_have_granted_still_blocks():
    granted = GrantedSlice(SLICE, "s1", 7, 1.0)
    state = shortened(state_of("s1", 7), granted, s1=2.0)
    await asyncio.sleep(0.9)
    assert state.grantable("s1") == ()


async def test_slices_of_other_ranges_stay_blocked():
    granted = GrantedSlice(KeyRange(0, 50), "s1", 7, 0.0)
    state = shortened(state_of("s1", 7), granted, s1=0.0)
    await asyncio.sleep(WHOLE_GRANT_SECONDS - 0.1)
    assert state.grantable("s1") == ()


async def test_a_leader_in_power_says_nothing_of_its_grants(deployment):
    async with deployment:
        leader = deployment.leader.context.host_context.own_witness
        request = LapseRequest(SHARD, deployment.leader.epoch, leader)
        asker = next(name for name in deployment.entry if name != leader.host)
        peers = deployment.entry[asker].host_context.peers
        answer = await peers.call(leader.host, request, 1.0)
        assert not isinstance(answer, LapseAnswer)


@pytest.mark.parametrize("is_same", [True, False])
async def test_a_leader_that_gave_up_tells_of_that_epoch_only(is_same):
    async with FakeDeployment() as deployment:
        leader, epoch = (
            deployment.leader.context.host_context.own_witness,
            deployment.leader.epoch,
        )
        deployment.targets.down_hosts.add(leader.host)
        await deployment.until(
            lambda: deployment.leader is not None and deployment.leader.epoch > epoch
        )
        asker = deployment.leader_host
        request = LapseRequest(SHARD, epoch if is_same else epoch + 1, leader)
        peers = deployment.entry[asker].host_context.peers
        answer = await peers.call(leader.host, request, 1.0)
        assert isinstance(answer, LapseAnswer) is is_same
        if is_same:
            ranges = [one.range for one in answer.slices]
            assert ranges == [one.range for one in deployment.record.slices]
            assert all(
                one.seconds <= WHOLE_GRANT_SECONDS * 1.01**2 for one in answer.targets
            )
