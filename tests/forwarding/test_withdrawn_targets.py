from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from balsamway.forwarding.target_state import TargetState
from balsamway.outcome import Completed, NotRun
from balsamway.routing import Backend
from tests.fakes.admit_all import AdmitAll
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime

MAX_ADMISSIONS = 100
"""A request that is admitted more often would never end."""
TIMEOUT_SECONDS = 1.0


class CountedAdmission(AdmitAll):
    """Fails a request that is admitted again and again without being sent."""

    def __init__(self):
        self._admissions = 0

    async def acquire(self, state, priority):
        self._admissions += 1
        assert self._admissions <= MAX_ADMISSIONS, "the request chooses without end"
        return await super().acquire(state, priority)


@pytest.fixture
def counted(setup):
    setup.forwarder.admission = CountedAdmission()
    return setup


# Guards against an event loop that stands still in choosing a target.
@pytest.mark.parametrize("service", ["s", "k"])
async def test_a_choice_that_is_refused_each_time_ends_the_request(
    counted, monkeypatch, service
):
    counted.adopt(backends=(Backend(service, 1.0),))
    counted.set_targets(target("i-1", service), target("i-2", service))
    counted.owners.change("i-1")
    monkeypatch.setattr(TargetState, "may_receive", lambda *_: False)
    verdict = await counted.request(key=7)
    assert isinstance(verdict, NotRun)
    assert verdict.retry_after_seconds > 0
    assert not counted.transport.sent
    assert asyncio.get_running_loop().time() <= TIMEOUT_SECONDS


# Guards against choosing a target that is then refused for its earlier drain.
@pytest.mark.parametrize("seconds", [0.1, 5.0])
async def test_a_target_that_is_listed_as_ready_after_a_drain_delays_no_request(
    counted, seconds
):
    first, second = target("i-1"), target("i-2")
    counted.set_targets(first, second)
    counted.directory.update(replace(first, is_draining=True))
    await asyncio.sleep(seconds)
    counted.directory.update(first)
    await asyncio.sleep(1.0)
    for _ in range(20):
        assert isinstance(await counted.request(), Completed)


# Guards against a target that gets no request after a drain that was given up.
@pytest.mark.parametrize("seconds", [0.1, 5.0])
async def test_a_target_that_no_longer_drains_serves_again(counted, seconds):
    first = target("i-1")
    counted.set_targets(first)
    counted.directory.update(replace(first, is_draining=True, sequence=1))
    await asyncio.sleep(seconds)
    counted.directory.update(replace(first, sequence=2))
    await asyncio.sleep(1.0)
    assert isinstance(await counted.request(), Completed)
    # A second drain has its own time.
    counted.directory.update(replace(first, is_draining=True, sequence=3))
    assert isinstance(await counted.request(), NotRun)
