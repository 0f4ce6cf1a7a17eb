"""Routes that only the targets of some regions may serve."""

from __future__ import annotations

import pytest

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, NotRun, Reason
from balsamway.routing import Backend
from tests.forwarding.conftest import Setup, target

pytestmark = pytest.mark.looptime

REGION_BY_ZONE = {"z1": "north", "z2": "north", "z3": "south"}


@pytest.fixture
async def setup():
    setup = Setup(region_by_zone=REGION_BY_ZONE)
    setup.set_targets(
        target("i-1", zone="z1"),
        target("i-3", zone="z3"),
        target("i-9", zone="unknown"),
        target("k-3", "k", "z3"),
        target("k-9", "k", "unknown"),
    )
    return setup


def sent_names(setup):
    return {name for name, _ in setup.transport.sent}


async def test_a_route_without_regions_uses_all_targets(setup):
    setup.adopt()
    # The host's own zone is z1, whose target serves all while it is there.
    setup.set_targets(target("i-3", zone="z3"), target("i-9", zone="unknown"))
    for _ in range(60):
        await setup.request()
    assert sent_names(setup) == {"i-3", "i-9"}


async def test_a_route_uses_the_targets_of_its_regions_only(setup):
    setup.adopt(allowed_regions=frozenset({"south"}))
    for _ in range(60):
        assert isinstance(await setup.request(), Completed)
    assert sent_names(setup) == {"i-3"}


async def test_a_retry_stays_in_the_regions_of_the_route(setup):
    setup.adopt(allowed_regions=frozenset({"south"}))
    setup.transport.attempt_outcomes = [AttemptOutcome.SHED]
    assert isinstance(await setup.request(), NotRun)
    assert sent_names(setup) == {"i-3"}


async def test_a_request_without_an_allowed_target_is_refused(setup):
    setup.adopt(allowed_regions=frozenset({"east"}))
    refusal = await setup.request()
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.NO_TARGET
    assert refusal.retry_after_seconds > 0
    assert not setup.transport.sent


@pytest.mark.parametrize("owner", ["k-3", "k-9"])
async def test_a_key_whose_owner_is_elsewhere_is_refused_at_once(setup, owner):
    setup.adopt(backends=(Backend("k", 1.0),), allowed_regions=frozenset({"north"}))
    setup.owners.change(owner)
    refusal = await setup.request(key=1)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.NO_TARGET
    assert refusal.retry_after_seconds > 0
    assert not setup.transport.sent


async def test_a_key_whose_owner_is_in_the_region_is_served(setup):
    setup.adopt(backends=(Backend("k", 1.0),), allowed_regions=frozenset({"south"}))
    setup.owners.change("k-3")
    assert isinstance(await setup.request(key=1), Completed)
