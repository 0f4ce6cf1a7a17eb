from __future__ import annotations

import asyncio
import random
from collections import defaultdict

import pytest

from balsamway.keyspace.holder import Holder
from balsamway.keyspace.load_aggregator import REPORT_INTERVAL_SECONDS, LoadAggregator
from balsamway.keyspace.messages import LoadNotice
from balsamway.keyspace.placed_target import PlacedTarget
from balsamway.keyspace.placement import KEY_COUNT, Placement, even_split
from balsamway.keyspace.segment import Segment

IMBALANCE_AT_MOST = 1.15
"""The goal for the busiest target over its share at harvest."""


def targets(*speeds):
    return [
        PlacedTarget(Holder(f"t{number}", 1), speed)
        for number, speed in enumerate(speeds, 1)
    ]


def split(found):
    return [
        Segment(first, last, holder, place)
        for place, (first, last, holder) in enumerate(even_split(found), 1)
    ]


def moved(segments, moves):
    found = []
    for segment in segments:
        at = segment.first
        inside = [r for r in sorted(moves) if segment.first <= r[0] <= segment.last]
        for first, last in inside:
            if at < first:
                found.append(Segment(at, first - 1, segment.holder, 1))
            found.append(Segment(first, last, moves[(first, last)], 2))
            at = last + 1
        if at <= segment.last:
            found.append(Segment(at, segment.last, segment.holder, 1))
    return found


def loads(segments, rates):
    found = defaultdict(float)
    for segment in segments:
        found[segment.holder.name] += sum(
            rate for key, rate in rates.items() if segment.first <= key <= segment.last
        )
    return found


def settle(segments, rates, found, rounds=12):
    changed = 0
    for _ in range(rounds):
        moves = Placement(segments, rates, found).plan()
        changed += sum(last - first + 1 for first, last in moves)
        segments = moved(segments, moves)
    assert [one.first for one in segments[1:]] == [
        one.last + 1 for one in segments[:-1]
    ]
    return segments, changed / KEY_COUNT


def test_an_even_split_covers_all_keys_by_speed():
    segments = split(targets(1, 1, 2))
    assert segments[0].first == 0
    assert segments[-1].last == KEY_COUNT - 1
    assert [one.size for one in segments] == [16384, 16384, 32768]


def test_busy_keys_that_lie_together_are_spread():
    found = targets(*[1.0] * 12)
    rates = {key: 1.0 for key in range(30_000, 30_200)}
    segments, _ = settle(split(found), rates, found)
    spread = loads(segments, rates)
    assert max(spread.values()) <= 2 * IMBALANCE_AT_MOST * 200 / 12
    assert sum(1 for load in spread.values() if load > 0) == 12


def test_a_key_that_fills_a_target_has_a_fast_one_to_itself():
    found = targets(0.7, 0.7, 1.6, 0.7, 0.7, 1.6)
    rates = {key * 400: 0.3 for key in range(160)} | {777: 70.0}
    segments, _ = settle(split(found), rates, found)
    owner = next(one.holder for one in segments if one.first <= 777 <= one.last)
    assert owner.name in ("t3", "t6")
    assert loads(segments, rates)[owner.name] <= 70.0 + 2.0


def test_load_follows_speed():
    found = targets(0.5, 1.0, 1.5)
    rates = {key * 64: 0.2 for key in range(1024)}
    segments, _ = settle(split(targets(1, 1, 1)), rates, found)
    spread = loads(segments, rates)
    assert spread["t1"] < spread["t2"] < spread["t3"]


@pytest.mark.looptime
async def test_noise_moves_no_keys():
    """An even load, as the board measures it from its first report."""
    rng = random.Random(4)
    found = targets(*[1.0] * 12)
    segments = split(found)
    aggregator = LoadAggregator()
    for _ in range(int(40 / REPORT_INTERVAL_SECONDS)):
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        counts = defaultdict(int)
        for _ in range(int(200 * REPORT_INTERVAL_SECONDS)):
            counts[rng.randrange(KEY_COUNT)] += 1
        aggregator.add(LoadNotice("h", "z", "a", {}, {"s": dict(counts)}, {}))
        aggregator.decay({})
        rates, span = aggregator.key_rates("s"), aggregator.rate_seconds("s")
        assert Placement(segments, rates, found, span).plan() == {}


@pytest.mark.looptime
async def test_rates_are_known_soon_after_the_first_report():
    aggregator = LoadAggregator()
    for _ in range(int(1.0 / REPORT_INTERVAL_SECONDS)):
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        aggregator.decay({})
        aggregator.add(LoadNotice("h", "z", "a", {}, {"s": {7: 20}}, {}))
    assert aggregator.key_rates("s")[7] == pytest.approx(
        20 / REPORT_INTERVAL_SECONDS, rel=0.25
    )


@pytest.mark.parametrize("speed", [0.3, 1.0, 1.6])
def test_a_target_that_joins_gets_keys(speed):
    before = targets(*[1.0] * 11)
    after = [*before, PlacedTarget(Holder("new", 1), speed)]
    rates = {key * 64: 0.1 for key in range(1024)}
    moves = Placement(split(before), rates, after).plan()
    assert any(holder.name == "new" for holder in moves.values())


def test_keys_of_a_target_that_left_go_to_many():
    before = targets(*[1.0] * 6)
    rates = {key * 16: 0.1 for key in range(4096)}
    moves = Placement(split(before), rates, before[1:]).plan()
    assert sum(last - first + 1 for first, last in moves) >= KEY_COUNT // 6
    assert len({holder for holder in moves.values()}) >= 3
    assert "t1" not in {holder.name for holder in moves.values()}


def test_without_targets_nothing_moves():
    assert Placement(split(targets(1, 1)), {5: 9.0}, []).plan() == {}


def test_segments_that_are_moving_stay_where_they_go():
    found = targets(1.0, 1.0)
    segments = split(found)
    moving = [
        Segment(one.first, one.last, one.holder, 1, previous=(object(),))
        for one in segments
    ]
    rates = {key: 1.0 for key in range(100)}
    assert Placement(moving, rates, found).plan() == {}
