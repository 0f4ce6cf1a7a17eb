"""Guards against cold times that hosts lose, or spread without need."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.limits import ColdTarget
from balsamway.limits.cold_target import SETTLE_SECONDS

pytestmark = pytest.mark.looptime

RATE = 6.9


async def test_an_older_entry_does_not_shorten_what_a_host_reported():
    cold = ColdTarget(0.0, is_observed=False, requests_per_second=RATE)
    assert cold.on_report(3.0)
    cold.on_entry(0.0)
    await asyncio.sleep(2.9)
    assert cold.limit == RATE
    await asyncio.sleep(0.2)
    assert cold.limit is None


async def test_a_target_that_turns_cold_settles_and_one_that_stays_cold_does_not():
    cold = ColdTarget(0.0, is_observed=True, requests_per_second=RATE)
    cold.on_entry(5.0)
    assert cold.settle_seconds == SETTLE_SECONDS
    await asyncio.sleep(2.0)
    cold.on_entry(5.0)
    assert cold.settle_seconds == 0.0


async def test_an_entry_that_arrives_later_is_no_news():
    cold = ColdTarget(0.0, is_observed=True, requests_per_second=RATE)
    cold.on_entry(3.0)
    assert cold.take_news()
    await asyncio.sleep(0.5)
    cold.on_entry(2.6)
    assert not cold.take_news()
    assert not cold.on_report(2.8)


async def test_a_target_without_a_rate_has_no_limit():
    assert ColdTarget(3.0, is_observed=True).limit is None


async def test_an_entry_of_before_the_start_of_the_host_is_not_reported():
    cold = ColdTarget(3.0, is_observed=False, requests_per_second=RATE)
    assert cold.limit == RATE
    assert cold.left_to_report == 0.0
    assert not cold.take_news()
