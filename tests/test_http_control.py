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
    made = HttpControl()
    yield made
    await made.close()


async def granted(control, target, epoch=2, generation=1):
    survey = SurveyOrder(SHARD, epoch)
    state = await control.survey(target.host, survey, TIMEOUT_SECONDS)
    assert isinstance(state, GrantReport)
    ranges = (GrantedRange(RANGE, 7),)
    order = GrantOrder(SHARD, epoch, ranges, state.clock + 5.0, generation)
    return await control.grant(target.host, order, TIMEOUT_SECONDS)


async def test_a_grant_ends_at_the_moment_named_in_the_targets_clock(control, target):
    state = await granted(control, target)
    assert isinstance(state, GrantReport)
    assert state.ranges == (GrantedRange(RANGE, 7),)
    assert 0 < state.valid_until - state.clock <= 5.0


async def test_a_release_takes_the_ranges(control, target):
    await granted(control, target)
    order = ReleaseOrder(SHARD, 2, (RANGE,), 2)
    state = await control.release(target.host, order, TIMEOUT_SECONDS)
    assert isinstance(state, GrantReport)
    assert state.ranges == ()


async def test_orders_of_an_older_epoch_are_refused_after_a_survey(control, target):
    survey = SurveyOrder(SHARD, 3)
    await control.survey(target.host, survey, TIMEOUT_SECONDS)
    order = GrantOrder(SHARD, 2, (GrantedRange(RANGE, 7),), 1e12, 1)
    refused = await control.grant(target.host, order, TIMEOUT_SECONDS)
    assert isinstance(refused, OrderRefused)
    assert refused.leader_epoch == 3


async def test_a_leaving_target_says_so_in_its_answers(control, target):
    await target.leave()
    state = await granted(control, target)
    assert isinstance(state, GrantReport)
    assert state.leaving


async def test_an_order_to_a_target_that_is_gone_is_lost(control, target):
    host = target.host
    await target.stop()
    result = await control.survey(host, SurveyOrder(SHARD, 2), TIMEOUT_SECONDS)
    assert isinstance(result, OrderLost)
