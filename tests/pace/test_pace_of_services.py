"""Paces follow the configuration and the reports of rests."""

from __future__ import annotations

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.limits.cold_target import ColdTarget
from balsamway.pace.experience import Experience
from balsamway.routing import RoutedService
from tests.forwarding.conftest import Setup, target

pytestmark = pytest.mark.looptime


# Guards against a pace that nothing ends, so that the target stays limited.
async def test_a_pace_ends_when_its_service_names_no_warm_up_any_more():
    setup = Setup()
    setup.directory.replace([target("t")])
    setup.targets.set_limits([RoutedService("s", 110, warmup_seconds=3.0)], 1)
    state = setup.targets.find("t", 1)
    state.pace.on_report(2.0)
    assert state.requests_per_second == 2.0
    setup.targets.set_limits([RoutedService("s", 110)], 1)
    assert state.requests_per_second is None


# Guards against a pace that falls because callers have short deadlines.
async def test_attempts_that_time_out_are_no_failures_of_the_target():
    experience = Experience()
    experience.record(AttemptOutcome.TIMED_OUT, 0.1)
    experience.record(AttemptOutcome.FAILED, 0.1)
    assert experience.take(False).failed == 1


# Guards against a delayed report that extends the cold time again and again.
async def test_a_report_of_another_host_is_not_passed_back():
    cold = ColdTarget(0.0, is_observed=False, requests_per_second=5.0)
    cold.on_report(4.0)
    assert cold.left_seconds == pytest.approx(4.0)
    assert cold.left_to_report == pytest.approx(4.0)
    assert cold.left_observed == 0.0
    cold.on_entry(6.0)
    assert cold.left_observed == pytest.approx(6.0)
