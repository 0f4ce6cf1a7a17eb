from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.routing import Backend, RouteType
from tests.forwarding.conftest import Setup, configuration, target

pytestmark = pytest.mark.looptime


def now():
    return asyncio.get_running_loop().time()


async def test_without_a_configuration_the_reason_is_not_a_missing_route():
    verdict = await Setup().request()
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.NO_CONFIGURATION
    assert verdict.retry_after_seconds > 0


async def test_a_request_without_a_route_is_refused_as_such(setup):
    verdict = await setup.request(path="/other/")
    assert verdict == NotRun(Reason.NO_ROUTE)


async def test_an_older_configuration_is_never_adopted(setup):
    assert setup.forwarder.adopt(configuration(9, path_prefix="/new/"))
    assert not setup.forwarder.adopt(configuration(8))
    assert not setup.forwarder.adopt(configuration(9))
    assert (await setup.request("/new/")).status == 200
    assert (await setup.request("/a/")).reason is Reason.NO_ROUTE


async def test_a_served_request_has_one_attempt(setup):
    verdict = await setup.request()
    assert isinstance(verdict, Completed)
    assert len(setup.transport.sent) == 1


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMED_OUT, AttemptOutcome.FAILED],
)
async def test_an_unsafe_request_that_may_have_run_is_not_retried(setup, outcome):
    setup.adopt(type=RouteType.UNSAFE)
    setup.transport.attempt_outcomes = [outcome, AttemptOutcome.SERVED]
    verdict = await setup.request()
    assert len(setup.transport.sent) == 1
    assert not isinstance(verdict, NotRun)


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.CONNECTION_LOST, AttemptOutcome.FAILED]
)
async def test_a_safe_request_is_retried_at_another_target(setup, outcome):
    setup.transport.attempt_outcomes = [outcome, AttemptOutcome.SERVED]
    verdict = await setup.request()
    assert verdict.status == 200
    first, second = (name for name, _ in setup.transport.sent)
    assert first != second


@pytest.mark.parametrize("type_", list(RouteType))
async def test_a_refused_request_is_retried_at_another_target(setup, type_):
    setup.adopt(type=type_)
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED, AttemptOutcome.SERVED]
    assert (await setup.request()).status == 200
    assert len(setup.transport.sent) == 2


async def test_a_request_whose_first_attempt_may_have_run_is_never_refused(
    setup,
):
    setup.transport.attempt_outcomes = [
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.SHED,
    ]
    verdict = await setup.request()
    assert isinstance(verdict, MayHaveRun)


@pytest.mark.parametrize(
    "later",
    [AttemptOutcome.SHED, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST],
)
async def test_a_failed_response_is_passed_on_if_no_other_target_serves(setup, later):
    setup.transport.attempt_outcomes = [AttemptOutcome.FAILED, later]
    verdict = await setup.request()
    assert isinstance(verdict, Completed)
    assert verdict.status == 500


async def test_a_failed_response_is_passed_on_if_the_deadline_passes(setup):
    setup.transport.attempt_outcomes = [AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT]
    setup.transport.seconds = 0.9
    verdict = await setup.request()
    assert isinstance(verdict, Completed)
    assert verdict.status == 500


async def test_attempts_end_at_the_routes_limit(setup):
    setup.adopt(max_attempts=3)
    setup.transport.attempt_outcomes = [AttemptOutcome.CONNECTION_LOST]
    await setup.request()
    assert len(setup.transport.sent) == 3


async def test_targets_without_a_connection_do_not_count_as_attempts(setup):
    setup.adopt(type=RouteType.UNSAFE, max_attempts=1)
    setup.transport.attempt_outcomes = [
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.SERVED,
    ]
    assert (await setup.request()).status == 200


async def test_if_no_target_accepts_a_connection_the_request_has_not_run(setup):
    setup.adopt(type=RouteType.UNSAFE)
    setup.transport.attempt_outcomes = [AttemptOutcome.UNREACHABLE]
    verdict = await setup.request()
    assert isinstance(verdict, NotRun)
    assert verdict.retry_after_seconds > 0


async def test_retries_stay_within_the_hosts_share_of_the_budget(setup):
    setup.transport.attempt_outcomes = [AttemptOutcome.CONNECTION_LOST]
    requests = 400
    for _ in range(requests):
        await setup.request()
    retries = len(setup.transport.sent) - requests
    assert 0 < retries <= 0.2 * requests + 60 / 12


async def test_the_remaining_time_is_sent_and_bounded_by_the_route(setup):
    setup.adopt(timeout_seconds=0.8)
    await setup.request(caller_timeout=0.5)
    await setup.request(caller_timeout=5.0)
    await setup.request()
    assert [round(timeout, 3) for _, timeout in setup.transport.sent] == [
        0.5,
        0.8,
        0.8,
    ]


async def test_a_second_attempt_gets_only_the_remaining_time(setup):
    setup.transport.seconds = 0.3
    setup.transport.attempt_outcomes = [
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.SERVED,
    ]
    await setup.request(caller_timeout=1.0)
    assert [round(timeout, 2) for _, timeout in setup.transport.sent] == [1.0, 0.7]


@pytest.mark.parametrize("type_", list(RouteType))
async def test_a_verdict_is_returned_within_the_routes_timeout(setup, type_):
    setup.adopt(type=type_, timeout_seconds=0.4)
    setup.transport.seconds = 9.0
    setup.transport.attempt_outcomes = [AttemptOutcome.TIMED_OUT]
    verdict = await setup.request(caller_timeout=3.0)
    assert verdict == MayHaveRun(Reason.DEADLINE_EXCEEDED)
    assert now() <= 0.41


async def test_a_service_without_targets_is_refused_at_once(setup):
    setup.set_targets()
    verdict = await setup.request()
    assert verdict.reason is Reason.NO_TARGET
    assert verdict.retry_after_seconds > 0
    assert now() == 0


async def test_a_request_refused_by_one_backend_does_not_move_to_another(setup):
    setup.adopt(backends=(Backend("s", 1.0), Backend("other", 1.0)))
    verdicts = [await setup.request() for _ in range(20)]
    assert sum(isinstance(verdict, NotRun) for verdict in verdicts) == 10


async def test_the_local_zone_is_preferred_while_it_has_capacity(setup):
    setup.set_targets(target("near"), target("far", zone="z2"))
    for _ in range(20):
        await setup.request()
    assert {name for name, _ in setup.transport.sent} == {"near"}


async def test_requests_go_to_another_zone_if_the_local_one_is_full(setup):
    setup.set_targets(target("near", capacity=1), target("far", zone="z2"))
    setup.transport.seconds = 0.1
    await setup.request()
    await asyncio.gather(*(setup.request() for _ in range(6)))
    assert {name for name, _ in setup.transport.sent} == {"near", "far"}


async def test_a_keyed_request_goes_to_its_owner(setup):
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("i-1", "k"), target("i-2", "k"))
    setup.owners.change("i-2")
    for key in range(5):
        assert (await setup.request(key=key)).status == 200
    assert {name for name, _ in setup.transport.sent} == {"i-2"}


async def test_a_request_waits_for_a_move_that_ends_soon(setup):
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1", has_accepted=False, accept_expected_at=now() + 0.1)
    waiting = asyncio.create_task(setup.request(key=1))
    await asyncio.sleep(0.12)
    setup.owners.change("i-1")
    assert (await waiting).status == 200


async def test_a_request_whose_key_gets_no_owner_in_time_is_refused_at_once(
    setup,
):
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1", has_accepted=False, accept_expected_at=now() + 3.0)
    verdict = await setup.request(key=1)
    assert isinstance(verdict, NotRun)
    assert verdict.retry_after_seconds > 1.0
    assert now() == 0
    assert not setup.transport.sent


async def test_a_request_that_its_owner_refuses_is_retried_at_that_owner(setup):
    setup.adopt(backends=(Backend("k", 1.0),), type=RouteType.UNSAFE)
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1")
    setup.transport.attempt_outcomes = [
        AttemptOutcome.KEY_NOT_HELD,
        AttemptOutcome.SERVED,
    ]
    assert (await setup.request(key=1)).status == 200
    assert [name for name, _ in setup.transport.sent] == ["i-1", "i-1"]


async def test_another_incarnation_of_the_owner_is_not_the_owner(setup):
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1", incarnation=2)
    assert isinstance(await setup.request(key=1), NotRun)
    assert not setup.transport.sent


async def test_a_cancelled_request_frees_its_slot(setup):
    setup.transport.seconds = 5.0
    request = asyncio.create_task(setup.request())
    await asyncio.sleep(0.1)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    assert all(state.in_flight == 0 for state in setup.targets.all())


async def test_a_draining_owner_gets_no_request_after_its_drain_fraction(setup):
    setup.adopt(backends=(Backend("k", 1.0),))
    owner = target("i-1", "k")
    setup.set_targets(owner)
    setup.owners.change("i-1")
    setup.directory.update(replace(owner, is_draining=True))
    await asyncio.sleep(0.3)
    assert (await setup.request(key=1)).status == 200
    # The drain may become known 1.3 s late, and the target must stop receiving
    # requests within 2 s.
    await asyncio.sleep(0.4)
    verdict = await setup.request(key=1)
    assert isinstance(verdict, NotRun)
    assert len(setup.transport.sent) == 1


async def test_a_waiting_request_does_not_go_to_an_owner_that_drained_meanwhile(
    setup,
):
    setup.adopt(backends=(Backend("k", 1.0),), timeout_seconds=9.0)
    owner = target("i-1", "k")
    setup.set_targets(owner)
    setup.owners.change("i-1", has_accepted=False, accept_expected_at=now() + 2.0)
    setup.directory.update(replace(owner, is_draining=True))
    waiting = asyncio.create_task(setup.request(key=1))
    await asyncio.sleep(1.9)
    setup.owners.change("i-1")
    assert isinstance(await waiting, NotRun)
    assert not setup.transport.sent


@pytest.mark.parametrize("type_", list(RouteType))
async def test_a_request_that_waits_while_its_host_stops_is_not_sent_late(setup, type_):
    setup.adopt(backends=(Backend("k", 1.0),), timeout_seconds=9.0, type=type_)
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1", has_accepted=False, accept_expected_at=now() + 2.0)
    waiting = asyncio.create_task(setup.request(key=1))
    await asyncio.sleep(0.1)
    setup.forwarder.stop_sending_at(now() + 1.0)
    await asyncio.sleep(1.9)
    setup.owners.change("i-1")
    verdict = await waiting
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.STOPPING
    assert verdict.retry_after_seconds < 0.2
    assert not setup.transport.sent


async def test_a_refused_request_is_not_sent_again_late_in_a_stop(setup):
    setup.adopt(type=RouteType.UNSAFE)
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED, AttemptOutcome.SERVED]
    setup.transport.seconds = 0.3
    setup.forwarder.stop_sending_at(now() + 0.2)
    verdict = await setup.request()
    assert isinstance(verdict, NotRun)
    assert len(setup.transport.sent) == 1


async def test_a_short_request_is_not_refused_for_slow_requests_of_other_routes(
    setup,
):
    setup.adopt(objective_seconds=0.25, timeout_seconds=0.8, priority=0)
    for state in setup.targets.all():
        state.service_seconds = 0.9
    for _ in range(20):
        assert (await setup.request()).status == 200


async def test_a_request_with_a_queue_far_beyond_its_objective_is_refused_at_once(
    setup,
):
    setup.adopt(objective_seconds=0.25, timeout_seconds=2.0, priority=2)
    for state in setup.targets.all():
        state.service_seconds = 0.2
        state.remote_in_flight = 12.0
    verdict = await setup.request()
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.OVERLOADED
    assert now() == 0


async def test_urgent_requests_may_wait_longer(setup):
    completed = []
    setup.set_targets(target("j-1"), target("j-2"))
    for priority in (0, 1, 2):
        setup.adopt(objective_seconds=0.25, timeout_seconds=2.0, priority=priority)
        for state in setup.targets.all():
            state.service_seconds = 0.2
            state.remote_in_flight = 7.0
        completed.append(isinstance(await setup.request(), Completed))
    assert completed == [True, True, False]


async def test_a_refusal_for_lack_of_a_connection_has_a_retry_after(setup):
    setup.adopt(type=RouteType.UNSAFE)
    setup.transport.no_connection = True
    verdict = await setup.request()
    assert isinstance(verdict, NotRun)
    assert verdict.retry_after_seconds > 0
