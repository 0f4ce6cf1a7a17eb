from __future__ import annotations

import random

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.target_choice import choose_target
from balsamway.forwarding.target_state import TargetState
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime


def state(name, seconds=0.1, in_flight=0, zone="z1", capacity=3):
    found = TargetState(
        target(name, zone=zone, capacity=capacity),
        ConnectionPool("127.0.0.1:1", 9),
        2.0,
    )
    found.service_seconds = seconds
    found.in_flight = in_flight
    return found


def chosen(states, objective=0.3, tried=()):
    rng = random.Random(1)
    found = [choose_target(states, "z1", objective, tried, rng) for _ in range(200)]
    return {one.entry.name if one else None for one in found}


async def test_the_faster_of_two_idle_targets_is_chosen():
    assert chosen([state("slow", 0.2), state("fast", 0.1)]) == {"fast"}


async def test_a_queue_outweighs_speed():
    assert chosen([state("free", 0.2), state("full", 0.1, in_flight=9)]) == {"free"}


async def test_the_own_zone_is_left_only_for_more_than_its_worth():
    near, far = state("near", 0.13), state("far", 0.1, zone="z2")
    assert chosen([near, far]) == {"near"}
    near.in_flight = 9
    assert chosen([near, far]) == {"far"}


async def test_a_target_that_joined_is_tried():
    joined = state("joined", None)
    assert chosen([state("known", 0.05), joined]) == {"joined"}
    joined.in_flight = 1
    assert "known" in chosen([state("known", 0.05), joined])


async def test_a_target_that_fails_is_left_alone_until_the_failures_fade():
    failing = state("failing", 0.1)
    for _ in range(10):
        failing.observe(AttemptOutcome.CONNECTION_LOST, 0.01, True)
    assert chosen([failing, state("sound", 0.15)]) == {"sound"}


async def test_an_unreachable_target_is_tried_only_where_there_is_no_other():
    gone = state("gone", 0.05)
    gone.observe(AttemptOutcome.UNREACHABLE, 0.0, True)
    assert chosen([gone, state("there", 0.4)]) == {"there"}
    assert chosen([gone]) == {"gone"}


async def test_a_target_is_not_tried_twice():
    assert chosen([state("a"), state("b")], tried={"a"}) == {"b"}
    assert chosen([state("a")], tried={"a"}) == {None}
