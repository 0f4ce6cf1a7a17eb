from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, NotRun
from balsamway.routing import Backend, RouteType
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime

DRAIN_SECONDS = 2.0


@pytest.fixture
async def keyed(setup):
    """A keyed service, all of whose keys the target k-1 owns."""
    setup.adopt(backends=(Backend("k", 1.0),), type=RouteType.UNSAFE)
    setup.set_targets(target("k-1", "k"), target("k-2", "k"))
    setup.owners.change("k-1")
    return setup


def say_leaving(setup, *names):
    setup.transport.result_fields = {name: {"is_leaving": True} for name in names}


def sent_to(setup, name):
    return sum(sent == name for sent, _ in setup.transport.sent)


async def test_a_leaving_target_gets_no_more_requests_while_others_are_there(setup):
    say_leaving(setup, "i-1")
    for _ in range(60):
        await setup.request()
    assert sent_to(setup, "i-1") == 1


async def test_targets_that_all_leave_serve_until_their_time_to_leave(setup):
    say_leaving(setup, "i-1", "i-2", "i-3")
    for _ in range(20):
        assert isinstance(await setup.request(), Completed)
    await asyncio.sleep(DRAIN_SECONDS)
    sent = len(setup.transport.sent)
    refusal = await setup.request()
    assert isinstance(refusal, NotRun)
    assert refusal.retry_after_seconds > 0
    assert len(setup.transport.sent) == sent


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.SERVED, AttemptOutcome.SHED, AttemptOutcome.KEY_NOT_HELD]
)
async def test_the_owner_of_a_key_gets_nothing_after_its_time_to_leave(keyed, outcome):
    say_leaving(keyed, "k-1")
    keyed.transport.attempt_outcomes = [outcome, AttemptOutcome.SERVED]
    await keyed.request(key=1)
    await asyncio.sleep(DRAIN_SECONDS / 2)
    assert isinstance(await keyed.request(key=1), Completed)
    await asyncio.sleep(DRAIN_SECONDS / 2)
    sent = len(keyed.transport.sent)
    assert isinstance(await keyed.request(key=1), NotRun)
    assert len(keyed.transport.sent) == sent


async def test_a_request_that_waits_for_its_key_is_not_sent_to_a_leaving_owner(keyed):
    keyed.owners.change("k-1", has_accepted=False)
    keyed.adopt(backends=(Backend("k", 1.0),), timeout_seconds=4.0)
    waiting = asyncio.create_task(keyed.request(key=1))
    await asyncio.sleep(0.01)
    state = keyed.targets.find("k-1", 1)
    keyed.targets.on_leaving_report("k-1", 1, 1000)
    await asyncio.sleep(0.9 * DRAIN_SECONDS - 1.0)
    keyed.owners.change("k-1")
    assert isinstance(await waiting, NotRun)
    assert state.is_drain_expired
    assert not keyed.transport.sent


async def test_a_request_that_waits_for_its_limit_is_not_sent_after_the_time(setup):
    setup.set_targets(target("i-1"))
    acquire = setup.forwarder.admission.acquire

    async def wait(state, priority):
        await asyncio.sleep(0.5)
        return await acquire(state, priority)

    setup.forwarder.admission.acquire = wait
    setup.targets.on_leaving_report("i-1", 1, round(700 * DRAIN_SECONDS))
    assert isinstance(await setup.request(), NotRun)
    assert not setup.transport.sent


async def test_a_new_incarnation_at_the_same_address_starts_clean(keyed):
    say_leaving(keyed, "k-1")
    await keyed.request(key=1)
    keyed.transport.result_fields = {}
    await asyncio.sleep(DRAIN_SECONDS)
    entry = target("k-1", "k")
    keyed.set_targets(replace(entry, incarnation=2))
    keyed.owners.change("k-1", incarnation=2)
    assert isinstance(await keyed.request(key=1), Completed)


async def test_a_stale_entry_does_not_bring_a_leaving_target_back(setup):
    say_leaving(setup, "i-1", "i-2", "i-3")
    for _ in range(20):
        await setup.request()
    await asyncio.sleep(DRAIN_SECONDS)
    setup.set_targets()
    setup.set_targets(target("i-1"), target("i-2"), target("i-3"))
    sent = len(setup.transport.sent)
    assert isinstance(await setup.request(), NotRun)
    assert len(setup.transport.sent) == sent
