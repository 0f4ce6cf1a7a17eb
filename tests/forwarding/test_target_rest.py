from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.rest_answer import RestAsked, UnreadableRest
from balsamway.forwarding.target_rest import (
    MAX_REST_SECONDS,
    PROBE_SECONDS,
    TargetRest,
    seconds_until_return,
)
from balsamway.outcome import Completed, NotRun, Reason
from balsamway.routing import Backend
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime

REST_SECONDS = 3.0


def now():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def resting():
    """A target that has just asked for rest."""
    rest = TargetRest("i-1")
    rest.on_ended(AttemptOutcome.SHED, RestAsked(REST_SECONDS), now())
    return rest


async def end_rest():
    await asyncio.sleep(REST_SECONDS + 0.02)


async def test_a_target_gets_nothing_until_its_rest_is_over(resting):
    assert not resting.allows_request
    await asyncio.sleep(REST_SECONDS - 0.01)
    assert not resting.allows_request
    await asyncio.sleep(0.03)
    assert resting.allows_request


async def test_one_request_probes_a_target_after_its_rest(resting):
    await end_rest()
    resting.on_sent()
    assert not resting.allows_request
    resting.on_ended(AttemptOutcome.SERVED, None, now())
    assert resting.allows_request
    resting.on_sent()
    assert resting.allows_request


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.SHED, AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE],
)
async def test_a_target_that_does_not_serve_the_probe_is_probed_again(resting, outcome):
    await end_rest()
    resting.on_sent()
    resting.on_ended(outcome, None, now())
    assert resting.allows_request
    resting.on_sent()
    assert not resting.allows_request


async def test_a_cancelled_probe_does_not_block_the_target_for_long(resting):
    await end_rest()
    resting.on_sent()
    await asyncio.sleep(PROBE_SECONDS + 0.01)
    assert resting.allows_request


async def test_an_attempt_from_before_the_rest_does_not_end_the_probing(resting):
    sent_at = now()
    await end_rest()
    resting.on_ended(AttemptOutcome.SERVED, None, sent_at)
    resting.on_sent()
    assert not resting.allows_request


async def test_a_shorter_rest_does_not_end_a_longer_one(resting):
    resting.on_ended(AttemptOutcome.SHED, RestAsked(0.1), now())
    await asyncio.sleep(REST_SECONDS / 2)
    assert not resting.allows_request


@pytest.mark.parametrize("seconds", [31.0, 120.0, 600.0])
async def test_a_long_rest_is_not_probed_before_its_end(seconds):
    rest = TargetRest("i-1")
    rest.on_ended(AttemptOutcome.SHED, RestAsked(seconds), now())
    await asyncio.sleep(seconds - 0.1)
    assert not rest.allows_request
    await asyncio.sleep(0.2)
    assert rest.allows_request


async def test_a_rest_is_bounded():
    rest = TargetRest("i-1")
    rest.on_ended(AttemptOutcome.SHED, RestAsked(1e30), now())
    await asyncio.sleep(MAX_REST_SECONDS - 0.1)
    assert not rest.allows_request
    await asyncio.sleep(0.2)
    assert rest.allows_request


@pytest.mark.parametrize("answer", [None, UnreadableRest("soon"), RestAsked(0.0)])
async def test_without_a_usable_time_there_is_no_rest(answer):
    rest = TargetRest("i-1")
    rest.on_ended(AttemptOutcome.SHED, answer, now())
    assert rest.allows_request
    assert not rest.is_active


def test_callers_return_after_the_rest_spread_and_in_order_of_urgency():
    rng = random.Random(1)
    times = [
        [seconds_until_return(2.0, priority, rng) for _ in range(100)]
        for priority in (0, 1, 2)
    ]
    assert min(times[0]) >= 2.0
    assert max(times[0]) < min(times[1]) and max(times[1]) < min(times[2])
    assert all(max(each) - min(each) > 0.2 for each in times)


def ask_for_rest(setup, *names):
    fields = {"rest": RestAsked(REST_SECONDS)}
    setup.transport.result_fields = dict.fromkeys(names, fields)


def sent_to(setup, name):
    return sum(sent == name for sent, _ in setup.transport.sent)


async def test_another_target_serves_the_request_that_was_turned_away(setup):
    setup.set_targets(target("i-1"), target("i-2"))
    ask_for_rest(setup, "i-1", "i-2")
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED, AttemptOutcome.SERVED]
    assert (await setup.request()).status == 200
    assert len({name for name, _ in setup.transport.sent}) == 2


async def test_a_resting_target_gets_nothing_while_the_others_serve(setup):
    setup.targets.find("i-1", 1).rest.on_ended(
        AttemptOutcome.SHED, RestAsked(REST_SECONDS), now()
    )
    for _ in range(50):
        assert (await setup.request()).status == 200
    assert sent_to(setup, "i-1") == 0
    assert not setup.targets.find("i-1", 1).is_unreachable
    assert setup.targets.find("i-1", 1).failure_rate == 0.0


async def test_requests_are_refused_at_once_while_all_targets_rest(setup):
    ask_for_rest(setup, "i-1", "i-2", "i-3")
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED]
    await setup.request()
    await setup.request()
    assert len(setup.transport.sent) == 3
    began_at = now()
    refusal = await setup.request()
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.OVERLOADED
    assert now() == began_at
    assert refusal.retry_after_seconds >= REST_SECONDS - 0.1
    assert len(setup.transport.sent) == 3


async def test_a_request_that_waits_for_its_limit_is_not_sent_to_a_resting_target(
    setup,
):
    setup.set_targets(target("i-1"))
    acquire = setup.forwarder.admission.acquire
    rest = setup.targets.find("i-1", 1).rest

    async def wait(state, priority):
        rest.on_ended(AttemptOutcome.SHED, RestAsked(REST_SECONDS), now())
        await asyncio.sleep(0.1)
        return await acquire(state, priority)

    setup.forwarder.admission.acquire = wait
    assert isinstance(await setup.request(), NotRun)
    assert not setup.transport.sent


async def test_a_new_incarnation_does_not_rest(setup):
    ask_for_rest(setup, "i-1")
    setup.set_targets(target("i-1"))
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED, AttemptOutcome.SERVED]
    await setup.request()
    assert isinstance(await setup.request(), NotRun)
    setup.transport.result_fields = {}
    setup.set_targets()
    setup.set_targets(target("i-1"))
    assert (await setup.request()).status == 200


@pytest.fixture
async def keyed(setup):
    """A keyed service, all of whose keys the target k-1 owns."""
    setup.adopt(backends=(Backend("k", 1.0),))
    setup.set_targets(target("k-1", "k"), target("k-2", "k"))
    setup.owners.change("k-1")
    return setup


async def test_a_keyed_request_is_refused_at_once_while_its_owner_rests(keyed):
    ask_for_rest(keyed, "k-1")
    keyed.transport.attempt_outcomes = [AttemptOutcome.SHED]
    first = await keyed.request(key=1)
    began_at = now()
    second = await keyed.request(key=1)
    assert now() == began_at
    assert len(keyed.transport.sent) == 1
    for refusal in (first, second):
        assert refusal.retry_after_seconds >= REST_SECONDS - 0.1


async def test_a_keyed_request_waits_if_the_rest_ends_soon(keyed):
    keyed.targets.find("k-1", 1).rest.on_ended(
        AttemptOutcome.SHED, RestAsked(0.2), now()
    )
    began_at = now()
    assert isinstance(await keyed.request(key=1), Completed)
    assert now() - began_at >= 0.2


async def test_waiting_keyed_requests_follow_the_probe(keyed):
    keyed.transport.seconds = 0.04
    rest = keyed.targets.find("k-1", 1).rest
    rest.on_ended(AttemptOutcome.SHED, RestAsked(0.2), now())
    requests = [asyncio.create_task(keyed.request(key=1)) for _ in range(10)]
    while not keyed.transport.sent:
        await asyncio.sleep(0.01)
    await asyncio.sleep(keyed.transport.seconds / 2)
    assert len(keyed.transport.sent) == 1
    verdicts = await asyncio.gather(*requests)
    assert all(isinstance(verdict, Completed) for verdict in verdicts)
