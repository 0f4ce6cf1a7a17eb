from __future__ import annotations

import asyncio

import pytest

from balsamway.clock import now
from balsamway.keyspace.hold_bound import lapse_seconds
from balsamway.keyspace.holder import Holder
from balsamway.keyspace.key_record import KEY_COUNT, KeyRecord
from balsamway.keyspace.segment import Segment
from balsamway.keyspace.service_keys import ServiceKeys
from balsamway.keyspace.target_keeper import GRANT_SECONDS, ORDER_SECONDS

pytestmark = pytest.mark.looptime

LOST, NEXT = Holder("lost", 1), Holder("next", 1)
RECORD = KeyRecord(
    1, 3, (Segment(0, 99, LOST, 1), Segment(100, KEY_COUNT - 1, LOST, 2))
)


@pytest.fixture
async def keys():
    return ServiceKeys("s", 1, RECORD, 1, now(), lambda: None)


def move(keys, *segments):
    record = keys.record.reassign({segment.keys: NEXT for segment in segments})
    keys.replace(record, 2)
    return list(keys.vacating())


async def test_an_order_that_was_not_sent_does_not_hold_keys_back(keys):
    bound = keys.bound(LOST)
    bound.settle(bound.begin(GRANT_SECONDS, ORDER_SECONDS), GRANT_SECONDS)
    granted_until = now() + lapse_seconds(GRANT_SECONDS)
    await asyncio.sleep(3.0)
    number = bound.begin(GRANT_SECONDS, ORDER_SECONDS)
    vacating = move(keys, *RECORD.segments)
    bound.forget(number)
    assert [one.until for one in vacating] == [granted_until] * 2


async def test_an_order_that_may_have_been_received_holds_keys_back(keys):
    bound = keys.bound(LOST)
    number = bound.begin(GRANT_SECONDS, ORDER_SECONDS)
    vacating = move(keys, *RECORD.segments)
    await asyncio.sleep(ORDER_SECONDS)
    bound.settle(number, GRANT_SECONDS)
    held_until = now() + lapse_seconds(GRANT_SECONDS)
    assert [one.until for one in vacating] == pytest.approx([held_until] * 2)


async def test_orders_for_the_keys_that_it_keeps_hold_no_others_back(keys):
    bound = keys.bound(LOST)
    bound.settle(bound.begin(GRANT_SECONDS, ORDER_SECONDS), GRANT_SECONDS)
    granted_until = now() + lapse_seconds(GRANT_SECONDS)
    (vacating,) = move(keys, RECORD.segments[0])
    await asyncio.sleep(1.0)
    bound.settle(bound.begin(GRANT_SECONDS, ORDER_SECONDS), GRANT_SECONDS)
    assert vacating.until == granted_until
