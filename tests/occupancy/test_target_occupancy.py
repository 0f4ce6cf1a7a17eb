from __future__ import annotations

import asyncio

import pytest

from balsamway.clock import now
from balsamway.occupancy import (
    RemoteCount,
    ServiceRoom,
    SharedRoom,
    TargetLoad,
    TargetOccupancy,
    UnreadableLoad,
)
from balsamway.occupancy.target_occupancy import (
    COUNT_EXPIRY_SECONDS,
    DISTRUST_SECONDS,
)

pytestmark = pytest.mark.looptime

CAPACITY = 4


@pytest.fixture
async def occupancy():
    room = ServiceRoom("s")
    room.adopt(SharedRoom(5.0, True))
    return TargetOccupancy("t1", room)


def counted(requests):
    return RemoteCount(requests, now())


def load(total, slowdown=1.0):
    return TargetLoad(min(4, total), max(0, total - 4), 4, slowdown)


async def test_without_a_report_the_counts_are_the_estimate(occupancy):
    assert occupancy.estimate(2, counted(7.0), CAPACITY) == 9.0
    assert occupancy.slowdown == 1.0


async def test_counts_expire_when_no_leader_is_heard(occupancy):
    remote = counted(7.0)
    await asyncio.sleep(COUNT_EXPIRY_SECONDS + 0.1)
    assert occupancy.estimate(2, remote, CAPACITY) == 2.0


async def test_a_report_says_what_others_sent_since_the_count(occupancy):
    occupancy.on_load(load(12), own_requests=2)
    assert 8.0 < occupancy.estimate(2, counted(5.0), CAPACITY) <= 12.0


async def test_a_report_loses_its_weight(occupancy):
    occupancy.on_load(load(12), own_requests=0)
    await asyncio.sleep(4.0)
    assert occupancy.estimate(0, counted(5.0), CAPACITY) == pytest.approx(5.0, abs=0.1)


async def test_the_slowdown_is_that_of_this_moment(occupancy):
    occupancy.on_load(load(1, slowdown=3.0), own_requests=0)
    assert occupancy.slowdown == pytest.approx(3.0)
    await asyncio.sleep(0.4)
    assert 1.5 < occupancy.slowdown < 2.0
    await asyncio.sleep(4.0)
    assert occupancy.slowdown == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("slowdown", [0.01, 99.99])
async def test_an_odd_slowdown_is_bounded(occupancy, slowdown):
    occupancy.on_load(load(1, slowdown), own_requests=0)
    assert 0.25 <= occupancy.slowdown <= 4.0


@pytest.mark.parametrize("reported", [0, 19_998])
async def test_a_false_load_moves_the_estimate_by_a_bounded_number(occupancy, reported):
    """Guards against an idle target that keeps all requests away from itself,
    and against a full one that draws all of them."""
    occupancy.on_load(TargetLoad(reported // 2, reported // 2, 4), own_requests=0)
    assert abs(occupancy.estimate(0, counted(12.0), CAPACITY) - 12.0) <= 8.0


async def test_a_load_of_zero_is_ignored_after_a_refusal(occupancy):
    remote = counted(16.0)
    occupancy.on_load(load(0), own_requests=0)
    assert occupancy.estimate(0, remote, CAPACITY) < 16.0
    occupancy.on_full(0, remote, CAPACITY, service_seconds=0.2)
    assert occupancy.estimate(0, remote, CAPACITY) == pytest.approx(20.0)
    await asyncio.sleep(1.0)
    occupancy.on_load(load(0), own_requests=0)
    assert occupancy.estimate(0, counted(16.0), CAPACITY) >= 16.0
    await asyncio.sleep(DISTRUST_SECONDS)
    occupancy.on_load(load(0), own_requests=0)
    assert occupancy.estimate(0, counted(16.0), CAPACITY) < 16.0


async def test_a_target_that_refused_is_full_until_it_completed_requests(occupancy):
    occupancy.on_full(0, counted(5.0), CAPACITY, service_seconds=0.2)
    assert occupancy.estimate(0, counted(5.0), CAPACITY) == pytest.approx(20.0)
    await asyncio.sleep(0.5)
    assert occupancy.estimate(0, counted(5.0), CAPACITY) == pytest.approx(10.0)
    await asyncio.sleep(0.5)
    assert occupancy.estimate(0, counted(5.0), CAPACITY) == pytest.approx(5.0)


async def test_an_unreadable_load_changes_nothing_and_is_logged_once(occupancy, caplog):
    occupancy.on_load(load(9), own_requests=0)
    before = occupancy.estimate(0, counted(5.0), CAPACITY)
    for _ in range(5):
        occupancy.on_load(UnreadableLoad("x" * 500), own_requests=0)
    assert occupancy.estimate(0, counted(5.0), CAPACITY) == before
    assert caplog.messages.count("target-load-unreadable") == 1
    assert len(caplog.records[0].text) <= 40
    assert occupancy.room.unreadable_loads == 5
