from __future__ import annotations

import random

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.attempt_result import Finding
from balsamway.forwarding.target_choice import choose_target
from balsamway.forwarding.target_state import TargetState
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime


def state(name, seconds=0.1, in_flight=0, zone="z1", capacity=3):
    state = TargetState(
        target(name, zone=zone, capacity=capacity),
        ConnectionPool("127.0.0.1:1", 9),
        2.0,
    )
    state.service_seconds = seconds
    state.in_flight = in_flight
    return state


def chosen_names(states, objective=0.3, tried=()):
    rng = random.Random(1)
    chosen = [choose_target(states, "z1", objective, tried, rng) for _ in range(200)]
    return {state.entry.name if state else None for state in chosen}


async def test_the_faster_of_two_idle_targets_is_chosen():
    assert chosen_names([state("slow", 0.2), state("fast", 0.1)]) == {"fast"}


async def test_a_slower_target_is_chosen_over_one_with_a_queue():
    assert chosen_names([state("free", 0.2), state("full", 0.1, in_flight=9)]) == {
        "free"
    }


async def test_another_zone_is_chosen_only_if_it_saves_more_than_its_penalty():
    local, remote = state("near", 0.13), state("far", 0.1, zone="z2")
    assert chosen_names([local, remote]) == {"near"}
    local.in_flight = 9
    assert chosen_names([local, remote]) == {"far"}


async def test_a_target_that_joined_is_tried():
    joined = state("joined", None)
    assert chosen_names([state("known", 0.05), joined]) == {"joined"}
    joined.in_flight = 1
    assert "known" in chosen_names([state("known", 0.05), joined])


async def test_a_target_that_fails_is_not_chosen():
    failing = state("failing", 0.1)
    for _ in range(10):
        failing.record_attempt(Finding.BROKEN, 0.01, True)
    assert chosen_names([failing, state("sound", 0.15)]) == {"sound"}


async def test_an_unreachable_target_is_tried_only_if_there_is_no_other():
    unreachable = state("gone", 0.05)
    unreachable.record_attempt(Finding.UNREACHABLE, 0.0, True)
    assert chosen_names([unreachable, state("there", 0.4)]) == {"there"}
    assert chosen_names([unreachable]) == {"gone"}


async def test_a_target_is_not_tried_twice():
    assert chosen_names([state("a"), state("b")], tried={"a"}) == {"b"}
    assert chosen_names([state("a")], tried={"a"}) == {None}
