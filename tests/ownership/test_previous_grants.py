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
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime

FULL_GRANT_SECONDS = 2.4
SLICE = KeyRange(0, 100)


def state_with_owner(owner: str, epoch: int) -> ShardState:
    leader = Witness("h0", 1)
    slices = (SliceEntry(SLICE, owner, epoch),)
    return ShardState(ShardRecord(ShardId("m", "s", 0), 1, leader, 2, (), slices))


def recovered(state: ShardState, granted: GrantedSlice, **held: float) -> ShardState:
    recovery = Recovery(state, now() + FULL_GRANT_SECONDS)
    recovery.block_all_slices()
    expiries = {
        name: TargetLapse(name, seconds, True) for name, seconds in held.items()
    }
    recovery.apply_previous_grants([granted], expiries)
    return state


async def test_the_only_target_that_may_hold_a_slice_is_granted_it_at_once():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = recovered(state_with_owner("s1", 7), granted, s1=2.0)
    assert [entry.owner for entry in state.grantable_entries("s1")] == ["s1"]


async def test_an_owner_that_the_store_does_not_name_is_adopted():
    granted = GrantedSlice(SLICE, "s2", 9, 0.0)
    state = recovered(state_with_owner("s1", 7), granted, s1=0.0, s2=2.0)
    assert state.grantable_entries("s1") == ()
    assert [entry.epoch for entry in state.grantable_entries("s2")] == [9]


async def test_an_owner_that_was_stored_but_not_granted_waits_for_the_last_owner():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = recovered(state_with_owner("s2", 9), granted, s1=1.5)
    await asyncio.sleep(1.4)
    assert state.grantable_entries("s2") == ()
    await asyncio.sleep(0.2)
    assert [entry.owner for entry in state.grantable_entries("s2")] == ["s2"]


async def test_an_owner_without_a_report_blocks_a_slice_for_a_full_grant():
    granted = GrantedSlice(SLICE, "s1", 7, 0.0)
    state = recovered(state_with_owner("s2", 9), granted)
    await asyncio.sleep(FULL_GRANT_SECONDS - 0.1)
    assert state.grantable_entries("s2") == ()


async def test_possible_grants_of_leaders_before_the_previous_one_still_block():
    granted = GrantedSlice(SLICE, "s1", 7, 1.0)
    state = recovered(state_with_owner("s1", 7), granted, s1=2.0)
    await asyncio.sleep(0.9)
    assert state.grantable_entries("s1") == ()


async def test_slices_of_other_ranges_stay_blocked():
    granted = GrantedSlice(KeyRange(0, 50), "s1", 7, 0.0)
    state = recovered(state_with_owner("s1", 7), granted, s1=0.0)
    await asyncio.sleep(FULL_GRANT_SECONDS - 0.1)
    assert state.grantable_entries("s1") == ()


async def test_a_leader_with_authority_does_not_report_its_grants(world):
    async with world:
        leader = world.leader.context.cluster.me
        request = LapseRequest(SHARD, world.leader.epoch, leader)
        requester = next(name for name in world.entry if name != leader.host)
        peers = world.entry[requester].cluster.peers
        answer = await peers.call(leader.host, request, 1.0)
        assert not isinstance(answer, LapseAnswer)


@pytest.mark.parametrize("is_same_epoch", [True, False])
async def test_a_leader_that_stood_down_reports_on_that_epoch_only(is_same_epoch):
    async with World() as world:
        leader, epoch = world.leader.context.cluster.me, world.leader.epoch
        world.targets.down_hosts.add(leader.host)
        await world.until(
            lambda: world.leader is not None and world.leader.epoch > epoch
        )
        requester = world.leader_host
        request = LapseRequest(SHARD, epoch if is_same_epoch else epoch + 1, leader)
        peers = world.entry[requester].cluster.peers
        answer = await peers.call(leader.host, request, 1.0)
        assert isinstance(answer, LapseAnswer) is is_same_epoch
        if is_same_epoch:
            ranges = [granted.range for granted in answer.slices]
            assert ranges == [entry.range for entry in world.record.slices]
            assert all(
                target.seconds <= FULL_GRANT_SECONDS * 1.01**2
                for target in answer.targets
            )
