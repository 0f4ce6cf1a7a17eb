"""Orders over HTTP against the target stand-in.

A grant that outlasts its moment, or an order of an older leader that is still
accepted, would give one key to two targets.
"""

from __future__ import annotations

import pytest

from balsamway.slices import KeyRange, ShardId
from balsamway.standins.target import TargetSettings, TargetStandin
from balsamway.targets.http_control import HttpControl
from balsamway.targets.orders import (
    GrantedRange,
    GrantOrder,
    GrantReport,
    OrderLost,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
)

SHARD = ShardId("m", "stock")
RANGE = KeyRange(0, 1000)
TIMEOUT_SECONDS = 2.0


@pytest.fixture
async def target():
    standin = TargetStandin(TargetSettings("stock-1", "z1", "m", "stock"))
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def control():
    http_control = HttpControl()
    yield http_control
    await http_control.close()


async def send_grant(control, target, epoch=2, generation=1):
    survey = SurveyOrder(SHARD, epoch)
    report = await control.survey(target.host, survey, TIMEOUT_SECONDS)
    assert isinstance(report, GrantReport)
    ranges = (GrantedRange(RANGE, 7),)
    order = GrantOrder(SHARD, epoch, ranges, report.clock + 5.0, generation)
    return await control.grant(target.host, order, TIMEOUT_SECONDS)


async def test_a_grant_expires_at_its_time_on_the_targets_clock(control, target):
    report = await send_grant(control, target)
    assert isinstance(report, GrantReport)
    assert report.ranges == (GrantedRange(RANGE, 7),)
    assert 0 < report.valid_until - report.clock <= 5.0


async def test_a_release_removes_the_ranges(control, target):
    await send_grant(control, target)
    order = ReleaseOrder(SHARD, 2, (RANGE,), 2)
    report = await control.release(target.host, order, TIMEOUT_SECONDS)
    assert isinstance(report, GrantReport)
    assert report.ranges == ()


async def test_orders_of_an_older_epoch_are_refused_after_a_survey(control, target):
    survey = SurveyOrder(SHARD, 3)
    await control.survey(target.host, survey, TIMEOUT_SECONDS)
    order = GrantOrder(SHARD, 2, (GrantedRange(RANGE, 7),), 1e12, 1)
    refused = await control.grant(target.host, order, TIMEOUT_SECONDS)
    assert isinstance(refused, OrderRefused)
    assert refused.leader_epoch == 3


async def test_a_draining_target_reports_it_in_its_responses(control, target):
    await target.leave()
    report = await send_grant(control, target)
    assert isinstance(report, GrantReport)
    assert report.leaving


async def test_an_order_to_a_stopped_target_is_lost(control, target):
    host = target.host
    await target.stop()
    result = await control.survey(host, SurveyOrder(SHARD, 2), TIMEOUT_SECONDS)
    assert isinstance(result, OrderLost)
