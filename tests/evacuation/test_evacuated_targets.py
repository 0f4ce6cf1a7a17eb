"""Requests of one host while zones of its targets are evacuated."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, NotRun, Reason
from balsamway.routing import Backend, RouteType
from tests.forwarding.conftest import Setup, target

pytestmark = pytest.mark.looptime

EVACUATE_SECONDS = 5.0
ROUND_TRIP_SECONDS = 0.02
"""More than a request that is not held takes with the scripted transport."""


@pytest.fixture
async def setup():
    setup = Setup(EVACUATE_SECONDS)
    setup.zones.replace(())
    setup.adopt()
    setup.set_targets(
        target("i-1", zone="z1"), target("i-2", zone="z2"), target("i-3", zone="z3")
    )
    return setup


@pytest.fixture
async def keyed(setup):
    """A keyed service, all of whose keys the target k-1 owns."""
    setup.adopt(
        backends=(Backend("k", 1.0),), type=RouteType.UNSAFE, timeout_seconds=2.0
    )
    setup.set_targets(target("k-1", "k", "z1"), target("k-2", "k", "z2"))
    setup.owners.change("k-1")
    return setup


def sent_to(setup, name):
    return sum(sent == name for sent, _ in setup.transport.sent)


async def is_refused_at_once(setup, **fields):
    """Send a request, and return whether it was refused without a wait."""
    loop = asyncio.get_running_loop()
    started_at, sent = loop.time(), len(setup.transport.sent)
    verdict = await setup.request(**fields)
    return (
        isinstance(verdict, NotRun)
        and verdict.reason is Reason.NO_TARGET
        and verdict.retry_after_seconds > 0
        and loop.time() - started_at < ROUND_TRIP_SECONDS
        and len(setup.transport.sent) == sent
    )


async def test_targets_of_an_evacuated_zone_get_no_new_requests(setup):
    setup.zones.add("z1")
    for _ in range(60):
        assert isinstance(await setup.request(), Completed)
    assert sent_to(setup, "i-1") == 0


async def test_targets_are_used_again_as_soon_as_their_zone_is(setup):
    setup.zones.add("z1")
    setup.zones.remove("z1")
    for _ in range(20):
        await setup.request()
    assert sent_to(setup, "i-1") > 0


async def test_an_evacuated_target_is_no_last_choice(setup):
    """Guards against the use of targets that are leaving, if all are."""
    for name in ("i-1", "i-2", "i-3"):
        setup.targets.on_leaving_report(name, 1, 0)
    setup.zones.add("z1")
    for _ in range(20):
        assert isinstance(await setup.request(), Completed)
    assert sent_to(setup, "i-1") == 0


async def test_requests_are_refused_at_once_if_all_zones_are_evacuated(setup):
    for zone in ("z1", "z2", "z3"):
        setup.zones.add(zone)
    assert await is_refused_at_once(setup)
    setup.zones.remove("z2")
    assert isinstance(await setup.request(), Completed)
    assert sent_to(setup, "i-2") == 1


async def test_requests_for_keys_are_refused_at_once_if_all_zones_are(keyed):
    keyed.zones.add("z1")
    keyed.zones.add("z2")
    assert await is_refused_at_once(keyed, key=1)


async def test_a_retry_goes_to_no_evacuated_target(setup):
    setup.set_targets(target("i-1", zone="z1"), target("i-2", zone="z1"))
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED, AttemptOutcome.SERVED]
    setup.transport.seconds = 0.2
    request = asyncio.create_task(setup.request())
    await asyncio.sleep(0.1)
    setup.zones.add("z1")
    assert isinstance(await request, NotRun)
    assert len(setup.transport.sent) == 1


async def test_a_request_in_progress_completes(setup):
    setup.set_targets(target("i-1", zone="z1"))
    setup.transport.seconds = 0.5
    request = asyncio.create_task(setup.request())
    await asyncio.sleep(0.1)
    setup.zones.add("z1")
    assert isinstance(await request, Completed)


async def test_a_request_that_waits_for_a_token_is_not_sent_to_the_zone(setup):
    setup.set_targets(target("i-1", zone="z1"), target("i-2", zone="z2"))
    setup.targets.on_leaving_report("i-2", 1, 0)
    acquire = setup.forwarder.admission.acquire

    async def wait(state, priority):
        await asyncio.sleep(0.2)
        return await acquire(state, priority)

    setup.forwarder.admission.acquire = wait
    request = asyncio.create_task(setup.request())
    await asyncio.sleep(0.1)
    setup.zones.add("z1")
    assert isinstance(await request, Completed)
    assert sent_to(setup, "i-1") == 0


async def test_the_owner_of_a_key_gets_requests_until_its_part_of_the_time(keyed):
    keyed.zones.add("z1")
    assert isinstance(await keyed.request(key=1), Completed)
    await asyncio.sleep(0.5 * EVACUATE_SECONDS - 0.1)
    assert isinstance(await keyed.request(key=1), Completed)
    await asyncio.sleep(0.2)
    sent = len(keyed.transport.sent)
    assert isinstance(await keyed.request(key=1), NotRun)
    assert len(keyed.transport.sent) == sent


async def test_a_request_is_held_until_its_key_has_moved(keyed):
    keyed.zones.add("z1")
    await asyncio.sleep(0.6 * EVACUATE_SECONDS)
    request = asyncio.create_task(keyed.request(key=1))
    await asyncio.sleep(0.3)
    assert not request.done()
    keyed.owners.change("k-2")
    assert isinstance(await request, Completed)
    assert [name for name, _ in keyed.transport.sent] == ["k-2"]


async def test_an_owner_whose_zone_is_found_evacuated_gets_nothing(keyed):
    keyed.zones.replace(("z1",))
    assert isinstance(await keyed.request(key=1), NotRun)
    assert not keyed.transport.sent


async def test_unreachable_targets_of_an_evacuated_zone_do_not_count(setup):
    """Guards against hosts that never claim the lead during an evacuation."""
    setup.set_targets(
        target("i-1", zone="z1"), target("i-2", zone="z1"), target("i-3", zone="z2")
    )
    for name in ("i-1", "i-2"):
        state = setup.targets.find(name, 1)
        state.record_attempt(AttemptOutcome.UNREACHABLE, 0.0, was_unqueued=True)
    assert not setup.targets.reaches_most_targets()
    setup.zones.add("z1")
    assert setup.targets.reaches_most_targets()
    setup.zones.remove("z1")
    assert not setup.targets.reaches_most_targets()


async def test_the_state_dump_names_evacuated_targets(setup):
    setup.zones.add("z1")
    assert setup.targets.dump()["i-1"]["is_evacuated"]
    assert list(setup.zones.dump()["zones"]) == ["z1"]
