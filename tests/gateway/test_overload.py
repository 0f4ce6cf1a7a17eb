"""Admission, load balancing and ejection under overload and failures.

Without them, urgent requests are refused before archive ones, requests run
after their deadline, and one frozen target holds up a whole service.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.gateway import CallerRequest
from balsamway.gateway.admission import Admission
from balsamway.gateway.attempt import Attempt
from balsamway.gateway.owner_group import OwnerGroup
from balsamway.gateway.target_state import TargetState
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.store import HostState
from tests.fakes.gateway_configurations import ARCHIVE, LIDS, LOOKUP, ORDER, PRICES
from tests.fakes.gateway_fleet import GatewayFleet
from tests.fakes.gateway_slots import GatewaySlots

pytestmark = pytest.mark.looptime

SHARES = {LOOKUP: 4, ORDER: 2, ARCHIVE: 4}
TIMER_RESOLUTION_SECONDS = 0.001


def refused_share(fleet, kind):
    counts = {key: n for key, n in fleet.verdicts.items() if key[0] == kind.name}
    return 1 - counts.get((kind.name, "completed"), 0) / sum(counts.values())


@pytest.mark.parametrize("queue_limit", [0, 6])
@pytest.mark.parametrize("factor", [1.5, 3.0])
async def test_overload_keeps_goodput_and_orders(factor, queue_limit):
    fleet = GatewayFleet(gateways=9, transport=GatewaySlots(queue_limit=queue_limit))
    await fleet.offer(fleet.capacity * factor, 1.5, SHARES)
    assert fleet.completed_in_time / 1.5 >= 0.9 * fleet.capacity
    order, lookup, archive = (
        refused_share(fleet, kind) for kind in (ORDER, LOOKUP, ARCHIVE)
    )
    assert order <= lookup <= archive
    assert fleet.latest <= TIMER_RESOLUTION_SECONDS


async def test_nothing_is_refused_soon_after_an_overload():
    fleet = GatewayFleet(gateways=9)
    await fleet.offer(fleet.capacity * 3, 1.0, SHARES)
    await asyncio.sleep(1.0)
    fleet.verdicts.clear()
    await fleet.offer(fleet.capacity * 0.6, 1.0, SHARES)
    assert {reason for _, reason in fleet.verdicts} == {"completed"}


async def test_a_frozen_target_is_ejected():
    fleet = GatewayFleet(gateways=3, targets=6)
    fleet.transport.frozen.add("s0")
    await fleet.offer(fleet.capacity * 0.3, 2.0, {LOOKUP: 1})
    fleet.verdicts.clear()
    await fleet.offer(fleet.capacity * 0.3, 1.0, {LOOKUP: 1})
    assert refused_share(fleet, LOOKUP) <= 0.01


async def test_a_draining_target_gets_no_new_requests():
    fleet = GatewayFleet(gateways=3, targets=3)
    await fleet.offer(100, 0.5, SHARES)
    first, *others = fleet.directory.hosts
    fleet.directory.hosts = (replace(first, state=HostState.LEAVING), *others)
    before = fleet.transport.busy_seconds[first.name]
    assert before > 0
    await fleet.offer(100, 0.5, SHARES)
    assert fleet.transport.busy_seconds[first.name] == before
    assert {reason for _, reason in fleet.verdicts} == {"completed"}


async def test_a_target_that_joins_gets_its_share_gradually():
    fleet = GatewayFleet(gateways=1, targets=4, zones="a")
    *old, new = fleet.directory.hosts
    fleet.directory.hosts = tuple(old)
    await fleet.offer(400, 0.5, SHARES)
    fleet.directory.hosts = (*old, new)
    fleet.transport.ran.clear()
    await fleet.offer(400, 0.5, SHARES)
    runs = {
        host.name: sum(fleet.transport.ran[host.name, kind.name] for kind in SHARES)
        for host in fleet.directory.hosts
    }
    assert 0 < runs[new.name] < 0.5 * min(runs[host.name] for host in old)


@pytest.fixture
def state(rng):
    host = GatewayFleet(gateways=1, targets=1).directory.hosts[0]
    return TargetState(host, 1, 0.0, rng)


def attempt_of(kind, seconds=1.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return Attempt(CallerRequest(LIDS, PRICES, kind, "r", "", deadline, b""), [])


async def test_waiting_requests_are_admitted_by_urgency_then_deadline(state):
    admission = Admission(OwnerGroup(state))
    state.admission = admission
    await admission.acquire(attempt_of(ORDER))
    order = []

    async def wait(name, kind, seconds):
        assert await admission.acquire(attempt_of(kind, seconds)) is state
        order.append(name)
        state.release()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(wait("archive", ARCHIVE, 0.5))
        tasks.create_task(wait("late order", ORDER, 0.9))
        tasks.create_task(wait("lookup", LOOKUP, 0.5))
        tasks.create_task(wait("order", ORDER, 0.8))
        await asyncio.sleep(0.01)
        state.release()
    assert order == ["order", "late order", "lookup", "archive"]
    assert (state.in_flight, admission.waiting) == (0, 0)


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(state):
    admission = Admission(OwnerGroup(state))
    state.admission = admission
    state.record_outcome(Completed(200, {}, b""), 0.4)
    await admission.acquire(attempt_of(ORDER))
    started_at = asyncio.get_running_loop().time()
    refused = await admission.acquire(attempt_of(ORDER, 0.5))
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_seconds > 0
    assert asyncio.get_running_loop().time() == started_at


async def test_a_cancelled_request_releases_its_target(state):
    admission = Admission(OwnerGroup(state))
    state.admission = admission
    await admission.acquire(attempt_of(ORDER))
    waiting = asyncio.create_task(admission.acquire(attempt_of(ORDER)))
    await asyncio.sleep(0.01)
    state.release()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert (state.in_flight, admission.waiting) == (0, 0)


async def test_failing_targets_are_ejected_but_never_more_than_a_third():
    fleet = GatewayFleet(gateways=1, targets=7, zones="a")
    gateway = fleet.workspaces[0]
    fleet.transport.frozen.update(host.name for host in fleet.directory.hosts)
    await fleet.offer(100, 4.0, {ORDER: 1})
    now = asyncio.get_running_loop().time()
    targets = gateway.dump()["targets"]
    assert sum(target["ejected_until"] > now for target in targets) <= 7 // 3
    assert any(target["ejected_until"] > 0 for target in targets)
    fleet.transport.frozen.clear()
    await asyncio.sleep(2.0)
    fleet.verdicts.clear()
    await fleet.offer(100, 1.0, {ORDER: 1})
    assert {reason for _, reason in fleet.verdicts} == {"completed"}


async def test_a_request_that_may_have_run_counts_against_its_target(state):
    for _ in range(3):
        state.record_outcome(MayHaveRun(Reason.CONNECTION_LOST), 0.1)
    assert state.is_failing
    state.record_outcome(Completed(200, {}, b""), 0.1)
    assert not state.is_failing
