"""Keys move away from targets that name a limit."""

from __future__ import annotations

import pytest

from balsamway.discovery import TargetEntry
from balsamway.keyspace.load_aggregator import TargetLoad
from balsamway.keyspace.placement import Placement, split_by_speed
from balsamway.keyspace.segment import Segment
from balsamway.keyspace.target_speed import estimate_speeds
from tests.keyspace.test_placement import loads, moved

SERVICE_SECONDS = 0.12
CAPACITY = 3
MAX_PLANS = 40
"""The number of plans after which the keys must lie well: 16 s."""


def entries(count):
    return [
        TargetEntry(f"t{n}", 1, "s", "127.0.0.1:1", "z", CAPACITY, False, 0.0)
        for n in range(count)
    ]


def speeds(count, limits):
    load = {f"t{n}": TargetLoad(service_seconds=SERVICE_SECONDS) for n in range(count)}
    return estimate_speeds(entries(count), load, limits)


def settle(segments, rates, target_speeds):
    for _ in range(MAX_PLANS):
        moves = Placement(segments, rates, target_speeds).plan()
        if not moves:
            break
        segments = moved(segments, moves)
    return segments


@pytest.mark.parametrize("limit", [1.0, 2.7, 6.0])
def test_a_target_that_names_a_limit_gives_up_the_load_beyond_it(limit):
    rates = {key * 64: 0.08 for key in range(1024)}
    before = speeds(10, {})
    segments = [
        Segment(first, last, owner, token)
        for token, (first, last, owner) in enumerate(split_by_speed(before), 1)
    ]
    limits = {f"t{n}": limit for n in range(5)}
    after = settle(segments, rates, speeds(10, limits))
    load_by_name = loads(after, rates)
    assert all(load_by_name[name] <= limit for name in limits)
    assert sum(load_by_name.values()) == pytest.approx(sum(rates.values()))


def test_a_busy_key_leaves_a_target_that_names_a_limit():
    rates = {key * 64: 0.02 for key in range(1024)} | {777: 12.0}
    before = speeds(10, {})
    segments = [
        Segment(first, last, owner, token)
        for token, (first, last, owner) in enumerate(split_by_speed(before), 1)
    ]
    owner = next(s.owner.name for s in segments if s.first <= 777 <= s.last)
    after = settle(segments, rates, speeds(10, {owner: 3.0}))
    assert owner != next(s.owner.name for s in after if s.first <= 777 <= s.last)


def test_a_limit_of_zero_leaves_a_target_a_small_speed():
    limited, other = speeds(2, {"t0": 0.0})
    assert 0 < limited.speed < 0.05 * other.speed
