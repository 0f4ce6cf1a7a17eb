from __future__ import annotations

import asyncio

import pytest

from balsamway.clock import now
from balsamway.keyspace.grant_expiry import max_grant_lifetime_seconds
from balsamway.keyspace.grant_renewer import HOLD_SECONDS, ORDER_TIMEOUT_SECONDS
from balsamway.keyspace.key_record import KEYS, KeyRecord
from balsamway.keyspace.segment import Segment
from balsamway.keyspace.service_keys import ServiceKeys
from balsamway.keyspace.target_incarnation import TargetIncarnation

pytestmark = pytest.mark.looptime

LOST, NEXT = TargetIncarnation("lost", 1), TargetIncarnation("next", 1)
RECORD = KeyRecord(1, 3, (Segment(0, 99, LOST, 1), Segment(100, KEYS - 1, LOST, 2)))
"""Two segments of one owner."""


@pytest.fixture
async def keys():
    return ServiceKeys("s", 1, RECORD, 1, now(), lambda: None)


def move(keys, *segments):
    """Move segments to the next owner, and return the pending releases."""
    record = keys.record.reassign({segment.keys: NEXT for segment in segments})
    keys.replace(record, 2)
    return list(keys.pending_releases())


async def test_an_order_that_was_not_sent_delays_no_release(keys):
    grant_expiry = keys.grant_expiry(LOST)
    grant_expiry.settle_pending(
        grant_expiry.add_pending(HOLD_SECONDS, ORDER_TIMEOUT_SECONDS), HOLD_SECONDS
    )
    grants_expire_at = now() + max_grant_lifetime_seconds(HOLD_SECONDS)
    await asyncio.sleep(3.0)
    order_id = grant_expiry.add_pending(HOLD_SECONDS, ORDER_TIMEOUT_SECONDS)
    pending_releases = move(keys, *RECORD.segments)
    grant_expiry.discard_pending(order_id)
    assert [pending.expires_at for pending in pending_releases] == [
        grants_expire_at
    ] * 2


async def test_an_order_that_may_have_been_received_delays_the_release(keys):
    grant_expiry = keys.grant_expiry(LOST)
    order_id = grant_expiry.add_pending(HOLD_SECONDS, ORDER_TIMEOUT_SECONDS)
    pending_releases = move(keys, *RECORD.segments)
    await asyncio.sleep(ORDER_TIMEOUT_SECONDS)
    grant_expiry.settle_pending(order_id, HOLD_SECONDS)
    expires_at = now() + max_grant_lifetime_seconds(HOLD_SECONDS)
    assert [pending.expires_at for pending in pending_releases] == pytest.approx(
        [expires_at] * 2
    )


async def test_orders_for_segments_that_do_not_move_delay_no_release(keys):
    grant_expiry = keys.grant_expiry(LOST)
    grant_expiry.settle_pending(
        grant_expiry.add_pending(HOLD_SECONDS, ORDER_TIMEOUT_SECONDS), HOLD_SECONDS
    )
    grants_expire_at = now() + max_grant_lifetime_seconds(HOLD_SECONDS)
    (pending,) = move(keys, RECORD.segments[0])
    await asyncio.sleep(1.0)
    grant_expiry.settle_pending(
        grant_expiry.add_pending(HOLD_SECONDS, ORDER_TIMEOUT_SECONDS), HOLD_SECONDS
    )
    assert pending.expires_at == grants_expire_at
