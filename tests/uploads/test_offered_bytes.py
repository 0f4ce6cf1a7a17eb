from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.entry import EntryRequest
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.offered_bytes import (
    DEFAULT_SECONDS,
    MAX_OFFERED_BYTES,
    UNKNOWN_LENGTH_BYTES,
    OfferedBytes,
    offered_size,
)
from balsamway.outcome import Completed, NotRun, Reason
from tests.forwarding.conftest import Setup, configuration, target

pytestmark = pytest.mark.looptime


class FakeStream:
    """A streamed body, of which the test says how much was taken."""

    def __init__(self, length, is_started=False):
        self.length = length
        self.is_started = is_started
        self.ending = "partial" if is_started else "unsent"
        self.taken_bytes = 0


def request_of(body, key=None):
    arrived_at = asyncio.get_running_loop().time()
    return EntryRequest("r", "POST", "h", "/a/b", (), body, arrived_at, None, key)


@pytest.fixture
async def setup():
    setup = Setup()
    setup.adopt()
    setup.set_targets(target("i-1"), target("i-2"))
    return setup


def state_of(setup, name):
    return setup.targets.find(name, 1)


async def in_progress(setup, *bodies):
    """Start a request with each body, and return the tasks."""
    tasks = [
        asyncio.ensure_future(setup.forwarder.forward(request_of(body)))
        for body in bodies
    ]
    await asyncio.sleep(0)
    return tasks


@pytest.mark.parametrize(
    ("body", "size"),
    [
        (b"", 0),
        (b"abc", 3),
        (FakeStream(20 << 20), 20 << 20),
        (FakeStream(None), UNKNOWN_LENGTH_BYTES),
    ],
)
async def test_the_size_of_a_body(body, size):
    """Guards against a stream without a length that counts as nothing."""
    assert offered_size(request_of(body)) == size


@given(st.lists(st.tuples(st.integers(0, 3 * MAX_OFFERED_BYTES), st.booleans())))
def test_the_bound_holds_unless_one_body_exceeds_it_alone(steps):
    """Guards the memory of a target, for any order of begins and ends."""

    async def play():
        offered = OfferedBytes()
        sizes = {}
        for number, (size, is_end) in enumerate(steps):
            if is_end and sizes:
                oldest = next(iter(sizes))
                offered.end(oldest, sizes.pop(oldest))
            elif offered.has_room(size):
                offered.begin(number, size)
                sizes[number] = size
            assert offered.total == sum(sizes.values())
            counted = [size for size in sizes.values() if size]
            assert offered.total <= MAX_OFFERED_BYTES or len(counted) == 1

    asyncio.run(play())


async def test_the_time_until_there_is_room_follows_earlier_bodies():
    """Guards `Retry-After` against a time that has nothing to do with room."""
    offered = OfferedBytes()
    assert offered.seconds_until_room == DEFAULT_SECONDS
    offered.begin("a", MAX_OFFERED_BYTES)
    await asyncio.sleep(4.0)
    offered.end("a", MAX_OFFERED_BYTES)
    offered.begin("b", MAX_OFFERED_BYTES)
    await asyncio.sleep(1.0)
    assert offered.seconds_until_room == pytest.approx(3.0)
    await asyncio.sleep(9.0)
    assert offered.seconds_until_room == DEFAULT_SECONDS


async def test_a_large_body_goes_to_a_target_with_room(setup):
    """Guards a target against two large bodies while another has none."""
    setup.transport.seconds = 0.2
    tasks = await in_progress(
        setup, FakeStream(MAX_OFFERED_BYTES), FakeStream(MAX_OFFERED_BYTES)
    )
    assert sorted(name for name, _ in setup.transport.sent) == ["i-1", "i-2"]
    await asyncio.gather(*tasks)
    assert state_of(setup, "i-1").offered.total == 0
    assert state_of(setup, "i-2").offered.total == 0


async def test_a_request_without_room_is_refused_at_once(setup):
    """Guards against a wait, or an attempt, for a request with no room."""
    setup.transport.seconds = 0.2
    tasks = await in_progress(setup, FakeStream(64 << 20), FakeStream(None))
    started_at = asyncio.get_running_loop().time()
    verdict = await setup.forwarder.forward(request_of(b"x"))
    assert asyncio.get_running_loop().time() == started_at
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.OVERLOADED
    assert verdict.retry_after_seconds > 0
    assert len(setup.transport.sent) == 2
    assert isinstance(await setup.forwarder.forward(request_of(b"")), Completed)
    await asyncio.gather(*tasks)
    assert isinstance(await setup.forwarder.forward(request_of(b"x")), Completed)


async def test_the_owner_of_a_key_has_the_same_bound(setup):
    """Guards the bound where no other target may serve the request."""
    setup.adopt(backends=(replace(configuration().routes[0].backends[0], service="k"),))
    setup.set_targets(target("i-1", "k"))
    setup.owners.change("i-1")
    setup.transport.seconds = 0.2
    forward = setup.forwarder.forward
    task = asyncio.ensure_future(forward(request_of(FakeStream(64 << 20), 1)))
    await asyncio.sleep(0)
    verdict = await forward(request_of(b"x", 1))
    assert isinstance(verdict, NotRun)
    assert verdict.reason is Reason.OVERLOADED
    assert isinstance(await task, Completed)


async def test_a_cancelled_request_gives_its_room_back(setup):
    """Guards against a target that stays full after callers broke off."""
    setup.transport.seconds = 0.2
    (task,) = await in_progress(setup, FakeStream(64 << 20))
    task.cancel()
    await asyncio.wait((task,))
    assert state_of(setup, "i-1").offered.total == 0
    assert state_of(setup, "i-2").offered.total == 0


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.SHED,
        AttemptOutcome.KEY_NOT_HELD,
        AttemptOutcome.WRONG_TARGET,
        AttemptOutcome.FAILED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.STALE_CONNECTION,
    ],
)
async def test_a_begun_stream_gets_one_attempt(setup, outcome):
    """Guards against an attempt with the rest of a body."""
    setup.transport.attempt_outcomes = [outcome, AttemptOutcome.SERVED]
    await setup.forwarder.forward(request_of(FakeStream(2 << 20, is_started=True)))
    assert len(setup.transport.sent) == 1


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.UNREACHABLE, AttemptOutcome.STALE_CONNECTION]
)
async def test_a_stream_that_was_not_begun_gets_another_attempt(setup, outcome):
    """Guards requests whose connection failed before a byte was written."""
    setup.transport.attempt_outcomes = [outcome, AttemptOutcome.SERVED]
    verdict = await setup.forwarder.forward(request_of(FakeStream(2 << 20)))
    assert isinstance(verdict, Completed)
    assert len(setup.transport.sent) == 2


async def test_a_broken_body_shows_nothing_of_the_target(setup):
    """Guards targets against blame for what callers do."""
    state = state_of(setup, "i-1")
    state.record_attempt(AttemptOutcome.BODY_BROKEN, 0.1, True)
    assert state.failure_rate == 0
    assert not state.is_in_backoff
