from __future__ import annotations

import asyncio
import math

import pytest

from balsamway.occupancy import ServiceRoom, SharedRoom
from balsamway.occupancy.service_room import EVIDENCE_SECONDS, MAX_ROOM_PER_SLOT

pytestmark = pytest.mark.looptime


def known(per_slot=5.0, is_resetting=True):
    room = ServiceRoom("s")
    room.adopt(SharedRoom(per_slot, is_resetting))
    return room


async def test_a_service_that_never_refuses_or_resets_has_no_bound():
    room = ServiceRoom("s")
    for occupancy in range(500):
        room.on_served(occupancy, room.limit(4, False, 5.0), 4)
    assert room.limit(4, is_repeatable=False, deviation=5.0) == math.inf
    assert room.fraction(1000.0, 4, False, 5.0) == 1.0
    assert room.shared is None


async def test_one_target_that_resets_is_not_taken_for_a_full_one():
    """Guards against a bound that is learned from a target that crashes."""
    room = ServiceRoom("s")
    for _ in range(20):
        room.on_reset("t1", 20.0, 4)
    assert not room.is_resetting
    assert room.limit(4, False, 5.0) == math.inf


async def test_resets_by_two_targets_far_apart_are_not_taken_for_full_ones():
    room = ServiceRoom("s")
    room.on_reset("t1", 20.0, 4)
    await asyncio.sleep(EVIDENCE_SECONDS + 0.1)
    room.on_reset("t2", 20.0, 4)
    assert not room.is_resetting


async def test_resets_by_two_targets_bound_the_service():
    room = ServiceRoom("s")
    room.on_reset("t1", 18.0, 4)
    room.on_reset("t2", 20.0, 4)
    assert room.is_resetting
    assert room.room(4) == pytest.approx(20.0)
    assert room.room(8) == pytest.approx(40.0)


async def test_a_refusal_bounds_the_service_without_a_margin():
    room = ServiceRoom("s")
    room.on_refused("t1", 20.0, 4)
    assert room.limit(4, is_repeatable=False, deviation=6.0) == pytest.approx(20.0)


async def test_a_margin_is_kept_for_requests_that_may_not_be_repeated():
    room = known()
    assert room.limit(4, is_repeatable=True, deviation=6.0) == pytest.approx(20.0)
    assert 4.0 < room.limit(4, is_repeatable=False, deviation=6.0) < 20.0
    assert room.limit(4, is_repeatable=False, deviation=0.0) == pytest.approx(20.0)


@pytest.mark.parametrize("deviation", [0.0, 2.0, 6.0, 100.0])
@pytest.mark.parametrize("is_repeatable", [True, False])
async def test_the_slots_are_used_and_a_full_target_gets_nothing(
    deviation, is_repeatable
):
    room = known()
    for occupancy in range(5):
        assert room.fraction(occupancy, 4, is_repeatable, deviation) == 1.0
    fractions = [room.fraction(n, 4, is_repeatable, deviation) for n in range(30)]
    assert fractions == sorted(fractions, reverse=True)
    assert set(fractions[20:]) == {0.0}


async def test_low_counts_at_resets_lower_the_room_slowly():
    """Guards against a bound that sinks because counts lag behind."""
    room = known()
    for _ in range(10):
        room.on_reset("t1", 8.0, 4)
    assert room.room(4) > 16.0


async def test_a_lower_room_is_learned_in_time():
    room = known()
    for _ in range(300):
        room.on_reset("t1", 8.0, 4)
    assert room.room(4) == pytest.approx(8.0, abs=1.0)


async def test_a_higher_room_is_learned_from_requests_that_are_served():
    room = known()
    for _ in range(2000):
        limit = room.limit(4, True, 0.0)
        room.on_served(limit - 1.0, limit, 4)
    assert room.room(4) > 25.0


@pytest.mark.parametrize("per_slot", [math.nan, math.inf, -1.0, 0.0, 1e9])
async def test_a_false_report_of_a_room_is_ignored(per_slot):
    assert known(per_slot).shared is None


async def test_the_room_is_bounded_from_above():
    room = ServiceRoom("s")
    room.on_refused("t1", 1e9, 4)
    assert room.room(1) == MAX_ROOM_PER_SLOT


async def test_what_was_learned_is_logged_once(caplog):
    caplog.set_level("INFO")
    room = known()
    for _ in range(50):
        room.on_reset("t1", 20.0, 4)
        room.adopt(SharedRoom(5.0, True))
    assert caplog.messages.count("service-room-learned") == 1
