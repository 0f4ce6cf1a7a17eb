from __future__ import annotations

import asyncio

import pytest

from balsamway.balance import Move
from balsamway.outcome import Reason
from balsamway.ownership.route import NoRoute, Route
from balsamway.slices import KeyRange
from balsamway.targets.orders import (
    GrantedRange,
    GrantOrder,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
    TargetState,
)
from tests.fakes.fate import Fate
from tests.fakes.faults import Injection
from tests.fakes.target import FakeTarget
from tests.fakes.world import SHARD, World

pytestmark = pytest.mark.looptime

HALF = KeyRange(0, 1 << 62)


def matches_order_to(target, *operations):
    def matches(step):
        if step.interface != "targets" or step.subject != target:
            return False
        return step.operation in operations

    return matches


def matches_message(name, target=None):
    def matches(step):
        return step.operation == name and target in (None, step.subject)

    return matches


async def test_a_target_with_fencing_refuses_older_epochs_and_generations():
    target = FakeTarget("a")
    ranges = (GrantedRange(HALF, 5),)
    assert isinstance(target.survey(SurveyOrder(SHARD, 2)), TargetState)
    old = GrantOrder(SHARD, 1, ranges, 9.0, 7)
    assert target.grant(old) == OrderRefused(2, 0.0)
    assert isinstance(target.grant(GrantOrder(SHARD, 2, ranges, 9.0, 3)), TargetState)
    release = await target.release(ReleaseOrder(SHARD, 2, (HALF,), 4))
    assert isinstance(release, TargetState)
    late = target.grant(GrantOrder(SHARD, 2, ranges, 9.0, 3))
    assert isinstance(late, OrderRefused)
    assert not target.owns(SHARD, 0)


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("delay", [0.5, 2.0, 4.0])
async def test_a_delayed_grant_does_not_lengthen_ownership(checks, delay):
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        world.faults.late_seconds = delay
        world.faults.inject(
            Injection(
                matches_order_to("s1", "grant", "survey"), Fate.APPLY_LATE, times=10**6
            )
        )
        await asyncio.sleep(15)
        assert world.overlaps() == []
        assert world.unowned() == []
        assert "s1" not in {entry.owner for entry in world.record.slices}


@pytest.mark.parametrize("checks", [True, False])
async def test_a_leader_paused_before_an_order_changes_nothing_after_it(checks):
    """An order sent after a pause must not take effect.

    The leader is superseded while it is paused and sends the order when it
    resumes.
    """
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        host = world.leader_host

        def pauses(step):
            return step.source == host and step.interface == "targets"

        def isolate(step):
            world.network.down.add(host)

        paused = Injection(pauses, delay_seconds=6.0, times=4, act=isolate)
        world.faults.inject(paused)
        await asyncio.sleep(5)
        assert world.leader_host != host
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await world.leader.handover.move([Move(entry.range, to)]) == 1
        world.rejoin(host)
        await asyncio.sleep(8)
        assert paused.reached == 4
        assert world.overlaps() == []
        assert world.owners(entry.range.start) == [to]


async def test_a_new_leader_waits_for_a_standby_that_it_cannot_reach():
    """A new leader must not grant slices that an unknown standby may hold.

    The old leader activated the standby while the store was unavailable, so
    the record does not name it as the owner.
    """
    async with World() as world:
        await asyncio.sleep(3)
        lost = [entry for entry in world.record.slices if entry.owner == "s1"]
        standbys = {entry.standby for entry in lost}
        world.store.outage = True
        world.targets.targets["s1"].lose()
        await world.until_served()
        world.targets.targets["s1"].restart()
        old = world.leader_host
        for host in set(world.entry) - {old}:
            world.targets.cut |= {(host, standby) for standby in standbys}
        await world.lose_host(old)
        world.store.outage = False
        await world.until(lambda: world.leader is not None)
        await asyncio.sleep(10)
        assert world.overlaps() == []
        assert world.unowned() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("fate", [Fate.LOSE_ANSWER, Fate.APPLY_LATE, Fate.DROP])
@pytest.mark.parametrize("operation", ["release", "grant", "survey"])
async def test_a_move_survives_any_outcome_of_its_orders(checks, fate, operation):
    async with World(checks=checks) as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        target = to if operation == "grant" else entry.owner
        world.faults.inject(
            Injection(matches_order_to(target, operation), fate, times=2)
        )
        await world.leader.handover.move([Move(entry.range, to)])
        await asyncio.sleep(6)
        assert world.overlaps() == []
        assert world.unowned() == []
        assert world.owners(entry.range.start) == [to]


async def test_a_move_from_an_unreachable_target_waits_until_its_grant_expires():
    async with World() as world:
        await asyncio.sleep(3)
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        world.targets.targets[entry.owner].freeze()
        await world.leader.handover.move([Move(entry.range, to)])
        world.targets.targets[entry.owner].thaw()
        await asyncio.sleep(5)
        assert world.overlaps() == []
        assert world.owners(entry.range.start) == [to]


async def test_requests_are_paused_while_their_slice_moves():
    async with World() as world:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        gateway = next(iter(world.entry.values())).views
        position = entry.range.start
        assert isinstance(await gateway.find(SHARD, position, now() + 1), Route)
        move = asyncio.create_task(world.leader.handover.move([Move(entry.range, to)]))
        waits = []
        for _ in range(50):
            started = now()
            route = await gateway.find(SHARD, position, now() + 2)
            waits.append(now() - started)
            assert isinstance(route, Route)
            with gateway.attempt(route) as valid:
                assert valid
                assert world.owners(position) == [route.owner]
            await asyncio.sleep(0.002)
        assert await move == 1
        assert route.owner == to
        assert 0 < max(waits) < 0.1


async def test_a_move_from_a_target_without_fencing_waits_for_requests_in_flight():
    async with World(checks=False) as world:
        await asyncio.sleep(8)
        now = asyncio.get_running_loop().time
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        gateway = next(iter(world.entry.values())).views
        route = await gateway.find(SHARD, entry.range.start, now() + 1)
        with gateway.attempt(route) as valid:
            assert valid
            move = asyncio.create_task(
                world.leader.handover.move([Move(entry.range, to)])
            )
            await asyncio.sleep(1.5)
            assert world.owners(entry.range.start) == [entry.owner]
        assert await move == 1
        await asyncio.sleep(0.5)
        assert world.owners(entry.range.start) == [to]


async def test_a_target_without_fencing_is_not_replaced_under_a_gateways_view():
    """A move must wait until the view of an unreachable gateway has expired.

    Until then the gateway may send requests to the old owner, which does not
    refuse them.
    """
    async with World(checks=False) as world:
        await asyncio.sleep(8)
        now = asyncio.get_running_loop().time
        host = next(name for name in world.entry if name != world.leader_host)
        gateway = world.entry[host].views
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        await gateway.find(SHARD, entry.range.start, now() + 1)
        await asyncio.sleep(0.5)
        world.network.partition({host}, set(world.entry) - {host})
        move = asyncio.create_task(world.leader.handover.move([Move(entry.range, to)]))
        while True:
            route = await gateway.find(SHARD, entry.range.start, now())
            if isinstance(route, NoRoute):
                break
            with gateway.attempt(route) as valid:
                assert valid
                assert world.owners(entry.range.start) == [entry.owner]
            await asyncio.sleep(0.01)
        assert route.reason is Reason.VIEW_LAPSED
        assert await move == 1
        assert world.overlaps() == []


async def test_a_gateway_adopts_no_older_view():
    async with World() as world:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        entry = world.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        host = next(name for name in world.entry if name != world.leader_host)
        gateway = world.entry[host].views
        await gateway.find(SHARD, entry.range.start, now() + 1)
        world.faults.late_seconds = 1.0
        world.faults.inject(
            Injection(matches_message("ViewNotice", host), Fate.DOUBLE, times=50)
        )
        await world.leader.handover.move([Move(entry.range, to)])
        await asyncio.sleep(0.1)
        for _ in range(300):
            route = await gateway.find(SHARD, entry.range.start, now() + 1)
            assert isinstance(route, Route)
            assert route.owner == to
            await asyncio.sleep(0.01)


async def test_an_expired_view_may_be_used_if_the_owner_has_fencing():
    async with World() as world:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        host = next(name for name in world.entry if name != world.leader_host)
        gateway = world.entry[host].views
        await gateway.find(SHARD, 0, now() + 1)
        world.isolate(host)
        await asyncio.sleep(10)
        started = now()
        assert isinstance(await gateway.find(SHARD, 0, now() + 5), Route)
        assert now() == started


async def test_requests_are_refused_at_once_after_some_time_without_a_leader():
    async with World(checks=False) as world:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        host = next(name for name in world.entry if name != world.leader_host)
        gateway = world.entry[host].views
        await gateway.find(SHARD, 0, now() + 1)
        world.isolate(host)
        await asyncio.sleep(10)
        started = now()
        assert await gateway.find(SHARD, 0, now() + 5) == NoRoute(Reason.VIEW_LAPSED)
        assert now() == started
