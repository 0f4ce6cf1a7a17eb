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
    GrantReport,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
)
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.fake_deployment import SHARD, FakeDeployment
from tests.fakes.faults import Injection
from tests.fakes.target import FakeTarget

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
    assert isinstance(target.survey(SurveyOrder(SHARD, 2)), GrantReport)
    old = GrantOrder(SHARD, 1, ranges, 9.0, 7)
    assert target.grant(old) == OrderRefused(2, 0.0)
    assert isinstance(target.grant(GrantOrder(SHARD, 2, ranges, 9.0, 3)), GrantReport)
    release = await target.release(ReleaseOrder(SHARD, 2, (HALF,), 4))
    assert isinstance(release, GrantReport)
    late = target.grant(GrantOrder(SHARD, 2, ranges, 9.0, 3))
    assert isinstance(late, OrderRefused)
    assert not target.owns(SHARD, 0)


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("delay", [0.5, 2.0, 4.0])
async def test_a_delayed_grant_does_not_lengthen_ownership(checks, delay):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(3)
        deployment.faults.late_seconds = delay
        deployment.faults.inject(
            Injection(
                matches_order_to("s1", "grant", "survey"),
                CallOutcome.APPLY_LATE,
                times=10**6,
            )
        )
        await asyncio.sleep(15)
        assert deployment.overlaps() == []
        assert deployment.unowned() == []
        assert "s1" not in {entry.owner for entry in deployment.record.slices}


@pytest.mark.parametrize("checks", [True, False])
async def test_a_leader_paused_before_an_order_changes_nothing_after_it(checks):
    """An order sent after a pause must not take effect.

    The leader is superseded while it is paused and sends the order when it
    resumes.
    """
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(3)
        host = deployment.leader_host

        def pauses(step):
            return step.source == host and step.interface == "targets"

        def isolate(step):
            deployment.network.down.add(host)

        paused = Injection(pauses, delay_seconds=6.0, times=4, on_match=isolate)
        deployment.faults.inject(paused)
        await asyncio.sleep(5)
        assert deployment.leader_host != host
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        assert await deployment.leader.handover.move([Move(entry.range, to)]) == 1
        deployment.rejoin(host)
        await asyncio.sleep(8)
        assert paused.match_count == 4
        assert deployment.overlaps() == []
        assert deployment.owners(entry.range.start) == [to]


async def test_a_new_leader_waits_for_a_standby_that_it_cannot_reach():
    """A new leader must not grant slices that an unknown standby may hold.

    The old leader activated the standby while the store was unavailable, so
    the record does not name it as the owner.
    """
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        lost = [entry for entry in deployment.record.slices if entry.owner == "s1"]
        standbys = {entry.standby for entry in lost}
        deployment.store.outage = True
        deployment.targets.targets["s1"].lose()
        await deployment.until_served()
        deployment.targets.targets["s1"].restart()
        old = deployment.leader_host
        for host in set(deployment.entry) - {old}:
            deployment.targets.cut |= {(host, standby) for standby in standbys}
        await deployment.lose_host(old)
        deployment.store.outage = False
        await deployment.until(lambda: deployment.leader is not None)
        await asyncio.sleep(10)
        assert deployment.overlaps() == []
        assert deployment.unowned() == []


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "outcome", [CallOutcome.LOSE_ANSWER, CallOutcome.APPLY_LATE, CallOutcome.DROP]
)
@pytest.mark.parametrize("operation", ["release", "grant", "survey"])
async def test_a_move_survives_any_outcome_of_its_orders(checks, outcome, operation):
    async with FakeDeployment(checks=checks) as deployment:
        await asyncio.sleep(3)
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        target = to if operation == "grant" else entry.owner
        deployment.faults.inject(
            Injection(matches_order_to(target, operation), outcome, times=2)
        )
        await deployment.leader.handover.move([Move(entry.range, to)])
        await asyncio.sleep(6)
        assert deployment.overlaps() == []
        assert deployment.unowned() == []
        assert deployment.owners(entry.range.start) == [to]


async def test_a_move_from_an_unreachable_target_waits_until_its_grant_expires():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        deployment.targets.targets[entry.owner].freeze()
        await deployment.leader.handover.move([Move(entry.range, to)])
        deployment.targets.targets[entry.owner].thaw()
        await asyncio.sleep(5)
        assert deployment.overlaps() == []
        assert deployment.owners(entry.range.start) == [to]


async def test_requests_are_paused_while_their_slice_moves():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        gateway = next(iter(deployment.entry.values())).views
        position = entry.range.start
        assert isinstance(await gateway.find(SHARD, position, now() + 1), Route)
        move = asyncio.create_task(
            deployment.leader.handover.move([Move(entry.range, to)])
        )
        waits = []
        for _ in range(50):
            started = now()
            route = await gateway.find(SHARD, position, now() + 2)
            waits.append(now() - started)
            assert isinstance(route, Route)
            with gateway.track_attempt(route) as valid:
                assert valid
                assert deployment.owners(position) == [route.owner]
            await asyncio.sleep(0.002)
        assert await move == 1
        assert route.owner == to
        assert 0 < max(waits) < 0.1


async def test_a_move_from_a_target_without_fencing_waits_for_requests_in_flight():
    async with FakeDeployment(checks=False) as deployment:
        await asyncio.sleep(8)
        now = asyncio.get_running_loop().time
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        gateway = next(iter(deployment.entry.values())).views
        route = await gateway.find(SHARD, entry.range.start, now() + 1)
        with gateway.track_attempt(route) as valid:
            assert valid
            move = asyncio.create_task(
                deployment.leader.handover.move([Move(entry.range, to)])
            )
            await asyncio.sleep(1.5)
            assert deployment.owners(entry.range.start) == [entry.owner]
        assert await move == 1
        await asyncio.sleep(0.5)
        assert deployment.owners(entry.range.start) == [to]


async def test_a_target_without_fencing_is_not_replaced_under_a_gateways_view():
    """A move must wait until the view of an unreachable gateway has expired.

    Until then the gateway may send requests to the old owner, which does not
    refuse them.
    """
    async with FakeDeployment(checks=False) as deployment:
        await asyncio.sleep(8)
        now = asyncio.get_running_loop().time
        host = next(name for name in deployment.entry if name != deployment.leader_host)
        gateway = deployment.entry[host].views
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        await gateway.find(SHARD, entry.range.start, now() + 1)
        await asyncio.sleep(0.5)
        deployment.network.partition({host}, set(deployment.entry) - {host})
        move = asyncio.create_task(
            deployment.leader.handover.move([Move(entry.range, to)])
        )
        while True:
            route = await gateway.find(SHARD, entry.range.start, now())
            if isinstance(route, NoRoute):
                break
            with gateway.track_attempt(route) as valid:
                assert valid
                assert deployment.owners(entry.range.start) == [entry.owner]
            await asyncio.sleep(0.01)
        assert route.reason is Reason.VIEW_LAPSED
        assert await move == 1
        assert deployment.overlaps() == []


async def test_a_gateway_adopts_no_older_view():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        entry = deployment.record.slices[0]
        to = "s3" if entry.owner != "s3" else "s2"
        host = next(name for name in deployment.entry if name != deployment.leader_host)
        gateway = deployment.entry[host].views
        await gateway.find(SHARD, entry.range.start, now() + 1)
        deployment.faults.late_seconds = 1.0
        deployment.faults.inject(
            Injection(matches_message("ViewNotice", host), CallOutcome.DOUBLE, times=50)
        )
        await deployment.leader.handover.move([Move(entry.range, to)])
        await asyncio.sleep(0.1)
        for _ in range(300):
            route = await gateway.find(SHARD, entry.range.start, now() + 1)
            assert isinstance(route, Route)
            assert route.owner == to
            await asyncio.sleep(0.01)


async def test_an_expired_view_may_be_used_if_the_owner_has_fencing():
    async with FakeDeployment() as deployment:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        host = next(name for name in deployment.entry if name != deployment.leader_host)
        gateway = deployment.entry[host].views
        await gateway.find(SHARD, 0, now() + 1)
        deployment.isolate(host)
        await asyncio.sleep(10)
        started = now()
        assert isinstance(await gateway.find(SHARD, 0, now() + 5), Route)
        assert now() == started


async def test_requests_are_refused_at_once_after_some_time_without_a_leader():
    async with FakeDeployment(checks=False) as deployment:
        await asyncio.sleep(3)
        now = asyncio.get_running_loop().time
        host = next(name for name in deployment.entry if name != deployment.leader_host)
        gateway = deployment.entry[host].views
        await gateway.find(SHARD, 0, now() + 1)
        deployment.isolate(host)
        await asyncio.sleep(10)
        started = now()
        assert await gateway.find(SHARD, 0, now() + 5) == NoRoute(Reason.VIEW_LAPSED)
        assert now() == started
