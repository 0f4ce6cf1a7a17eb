"""Requests of one service, with its keys spread by shares of the load.

The load is that of a stock lookup: twelve targets with three slots, a third
of them more than twice as fast as the others, and work that varies widely.
"""

from __future__ import annotations

import heapq
import math
import random

import pytest

from balsamway.keyspace.holder import Holder
from balsamway.keyspace.load_shares import FULLEST, LEAST_SHARE, load_shares
from balsamway.keyspace.placed_target import PlacedTarget

SLOTS = 3
WORK_SECONDS = 0.09
SPREAD = 0.8
OBJECTIVE_SECONDS = 0.3
SPEEDS = (0.7, 0.7, 1.6) * 4
CAPACITY = sum(SPEEDS) * SLOTS / WORK_SECONDS
PLAYED_SECONDS = 300.0


def targets(speeds=SPEEDS):
    holders = [Holder(f"t{number}", 1) for number in range(len(speeds))]
    return {
        holder: PlacedTarget(holder, speed * SLOTS / WORK_SECONDS, SLOTS)
        for holder, speed in zip(holders, speeds, strict=True)
    }


def by_speed(rate, found):
    """The earlier policy."""
    total = sum(one.speed for one in found.values())
    return {name: rate * one.speed / total for name, one in found.items()}


def alike(rate, found):
    """The naive policy."""
    return {name: rate / len(found) for name in found}


def late_share(shares, found, seed):
    """Plays arrivals at each target, and gives the share over the objective."""
    rng = random.Random(seed)
    late = count = 0
    for name, rate in shares.items():
        slots = [0.0] * SLOTS
        at = rng.expovariate(rate)
        while at < PLAYED_SECONDS:
            mean = SLOTS / found[name].speed
            work = rng.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD)
            ends = max(at, heapq.heappop(slots)) + work
            heapq.heappush(slots, ends)
            late += ends - at > OBJECTIVE_SECONDS
            count += 1
            at += rng.expovariate(rate)
    return late / count


@pytest.mark.parametrize("load", [0.2, 0.35, 0.5, 0.65, 0.8])
@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_requests_are_late_than_with_shares_by_speed(load, seed):
    found = targets()
    rate = load * CAPACITY
    late = late_share(load_shares(rate, found), found, seed)
    assert late <= late_share(by_speed(rate, found), found, seed)
    assert late < late_share(alike(rate, found), found, seed)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_third_of_the_late_requests_of_a_quiet_day_are_saved(seed):
    found = targets()
    rate = 0.35 * CAPACITY
    late = late_share(load_shares(rate, found), found, seed)
    assert late <= 2 / 3 * late_share(by_speed(rate, found), found, seed)


@pytest.mark.parametrize("load", [0.0, 0.05, 0.5, FULLEST, 1.0, 2.0])
def test_the_shares_add_up(load):
    rate = load * CAPACITY
    shares = load_shares(rate, targets())
    assert sum(shares.values()) == pytest.approx(rate)


def test_near_the_limit_shares_follow_speed():
    found = targets()
    rate = 0.95 * CAPACITY
    assert load_shares(rate, found) == pytest.approx(by_speed(rate, found))


def test_every_target_gets_something():
    found = targets((0.1, 0.1, 4.0))
    rate = 10.0
    shares = load_shares(rate, found)
    for name, share in by_speed(rate, found).items():
        assert shares[name] >= 0.999 * LEAST_SHARE * share


def test_alike_targets_get_alike():
    shares = load_shares(60.0, targets((1.0,) * 6))
    assert list(shares.values()) == pytest.approx([10.0] * 6)
