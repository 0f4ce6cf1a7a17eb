from __future__ import annotations

import asyncio
import logging

import pytest

from balsamway.limits import NamedLimit, NoLimit, TargetLimit, UnreadableLimit

pytestmark = pytest.mark.looptime


@pytest.fixture
async def limit():
    return TargetLimit("i-1")


async def test_a_named_limit_is_known_at_once_and_a_lower_one_replaces_it(limit):
    limit.on_response(NamedLimit(6.0))
    assert limit.requests_per_second == 6.0
    limit.on_response(NamedLimit(2.5))
    assert limit.requests_per_second == 2.5


async def test_a_response_without_a_limit_ends_it_once_none_is_named_any_more(limit):
    limit.on_response(NamedLimit(6.0))
    await asyncio.sleep(0.4)
    limit.on_response(NoLimit())
    assert limit.requests_per_second == 6.0
    await asyncio.sleep(0.2)
    limit.on_response(NoLimit())
    assert limit.requests_per_second is None


async def test_an_older_report_that_arrives_late_changes_nothing(limit):
    await asyncio.sleep(5.0)
    limit.on_response(NamedLimit(3.0))
    limit.on_report(None, 2000)
    limit.on_report(9.0, 2000)
    assert limit.requests_per_second == 3.0


async def test_a_newer_report_is_adopted(limit):
    await asyncio.sleep(5.0)
    limit.on_response(NamedLimit(3.0))
    await asyncio.sleep(2.0)
    limit.on_report(4.0, 300)
    assert limit.requests_per_second == 4.0
    await asyncio.sleep(2.0)
    limit.on_report(None, 300)
    assert limit.requests_per_second is None


async def test_a_limit_that_cannot_be_read_is_logged_once_and_changes_nothing(
    limit, caplog
):
    limit.on_response(NamedLimit(3.0))
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            await asyncio.sleep(1.0)
            limit.on_response(UnreadableLimit("many"))
    assert limit.requests_per_second == 3.0
    assert [record.message for record in caplog.records] == ["target-limit-unreadable"]


async def test_the_state_dump_shows_value_age_and_source(limit):
    limit.on_response(NamedLimit(3.0))
    await asyncio.sleep(1.5)
    assert limit.dump() == {
        "requests_per_second": 3.0,
        "changed_seconds_ago": 1.5,
        "seen_seconds_ago": 1.5,
        "source": "response",
    }
