"""Requests to services whose targets are full."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.limits import NamedLimit
from balsamway.occupancy import SharedRoom, TargetLoad
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.routing import Backend, RouteType
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime

CAPACITY = 4


@pytest.fixture
async def fleet(setup):
    """A forwarder whose two targets of 4 slots hold 20 requests each."""
    setup.set_targets(target("i-1", capacity=4), target("i-2", capacity=4))
    setup.targets.adopt_rooms({"s": (5.0, True), "k": (5.0, True)})
    return setup


def hold(setup, **requests):
    """Let other hosts have requests at the targets."""
    for state in setup.targets.all():
        name = state.entry.name.replace("-", "_")
        state.remote_in_flight = float(requests.get(name, 0.0))


async def test_a_full_target_gets_nothing_while_another_has_room(fleet):
    hold(fleet, i_1=20)
    for _ in range(40):
        await fleet.request()
        hold(fleet, i_1=20)
    assert {name for name, _ in fleet.transport.sent} == {"i-2"}


@pytest.mark.parametrize("route_type", [RouteType.SAFE, RouteType.UNSAFE])
async def test_a_request_is_refused_at_once_if_all_targets_are_full(fleet, route_type):
    fleet.adopt(type=route_type)
    hold(fleet, i_1=20, i_2=23)
    began_at = asyncio.get_running_loop().time()
    verdict = await fleet.request()
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.OVERLOADED
    assert 0.0 < verdict.retry_after_seconds < 10.0
    assert asyncio.get_running_loop().time() == began_at
    assert fleet.transport.sent == []
    assert fleet.targets.room("s").refused_for_fullness == 1


async def test_targets_without_anything_learned_are_used_as_before(setup):
    """Guards the deployments whose targets never refuse for fullness."""
    hold(setup, i_1=500, i_2=500, i_3=500)
    setup.adopt(objective_seconds=1000.0)
    assert isinstance(await setup.request(), Completed)


async def test_the_owner_of_a_key_is_bounded_alike(setup):
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("o-1", service="k", capacity=4))
    setup.targets.adopt_rooms({"k": (5.0, True)})
    setup.owners.change("o-1")
    assert isinstance(await setup.request(key=7), Completed)
    hold(setup, o_1=20)
    verdict = await setup.request(key=7)
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.OVERLOADED


async def test_an_unsafe_request_is_not_repeated_after_a_reset(fleet):
    """Guards the promise that it runs at most once: it is answered 502."""
    fleet.adopt(type=RouteType.UNSAFE)
    fleet.transport.attempt_outcomes = [AttemptOutcome.CONNECTION_LOST]
    verdict = await fleet.request()
    assert isinstance(verdict, MayHaveRun)
    assert len(fleet.transport.sent) == 1


async def test_a_safe_request_that_was_reset_before_is_not_said_not_to_have_run(fleet):
    """Guards against 503 after an attempt that may have run."""
    fleet.set_targets(target("i-1", capacity=4))
    fleet.transport.attempt_outcomes = [AttemptOutcome.CONNECTION_LOST]
    hold(fleet, i_1=0)
    state = fleet.targets.find("i-1", 1)
    task = asyncio.create_task(fleet.request())
    await asyncio.sleep(0.005)
    state.remote_in_flight = 30.0
    assert isinstance(await task, MayHaveRun)


async def reset_all(setup, seconds=0.01):
    setup.transport.attempt_outcomes = [AttemptOutcome.CONNECTION_LOST]
    setup.transport.seconds = seconds
    for _ in range(10):
        await setup.request()
    for _ in range(3):
        await asyncio.sleep(0.2)
        for state in setup.targets.all():
            state.remote_in_flight = state.remote_in_flight


async def test_resets_of_targets_that_seem_full_bound_the_service(setup):
    hold(setup, i_1=15, i_2=15, i_3=15)
    setup.adopt(objective_seconds=1000.0)
    await reset_all(setup)
    room = setup.targets.room("s")
    assert room.is_resetting
    assert room.room(3) == pytest.approx(15.0)


async def test_resets_of_idle_targets_do_not_bound_the_service(setup):
    """Guards against a bound that is learned from crashes and cut links."""
    await reset_all(setup)
    assert setup.targets.room("s").shared is None


async def test_connections_lost_during_execution_do_not_bound_the_service(setup):
    """Guards against a bound that is learned from targets that terminate."""
    hold(setup, i_1=15, i_2=15, i_3=15)
    setup.adopt(objective_seconds=1000.0)
    await reset_all(setup, seconds=0.3)
    assert setup.targets.room("s").shared is None


@pytest.mark.parametrize("reports", [True, False])
async def test_refusals_bound_services_that_report_their_load(setup, reports):
    hold(setup, i_1=15, i_2=15, i_3=15)
    setup.adopt(objective_seconds=1000.0)
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED]
    if reports:
        fields = {"load": TargetLoad(3, 12, 3)}
        setup.transport.result_fields = dict.fromkeys(("i-1", "i-2", "i-3"), fields)
    await setup.request()
    shared = setup.targets.room("s").shared
    assert shared == (SharedRoom(pytest.approx(5.0), False) if reports else None)


async def test_refusals_for_the_rate_do_not_bound_the_service(setup):
    """Guards against a limit in requests per second taken for fullness."""
    hold(setup, i_1=15, i_2=15, i_3=15)
    setup.adopt(objective_seconds=1000.0)
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED]
    fields = {"load": TargetLoad(3, 2, 3), "limit": NamedLimit(5.0)}
    setup.transport.result_fields = dict.fromkeys(("i-1", "i-2", "i-3"), fields)
    await setup.request()
    assert setup.targets.room("s").shared is None


async def test_a_reported_slowdown_scales_the_expected_wait(fleet):
    state = fleet.targets.find("i-1", 1)
    state.service_seconds = 0.1
    before = state.completions_per_second
    state.occupancy.on_load(TargetLoad(4, 0, 4, 3.0), own_requests=0)
    assert state.completions_per_second == pytest.approx(before / 3.0)


async def test_a_full_target_is_in_the_dump(fleet):
    hold(fleet, i_1=20)
    dump = fleet.targets.dump()
    assert dump["i-1"]["is_full"]
    assert "i-2" not in dump
