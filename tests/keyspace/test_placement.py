from __future__ import annotations

import asyncio
import random
from collections import defaultdict

import pytest

from balsamway.keyspace.load_board import REPORT_SECONDS, LoadBoard
from balsamway.keyspace.messages import LoadNotice
from balsamway.keyspace.placement import KEYS, Placement, split_by_speed
from balsamway.keyspace.segment import Segment
from balsamway.keyspace.target_incarnation import TargetIncarnation
from balsamway.keyspace.target_speed import TargetSpeed

MAX_IMBALANCE = 1.15
"""The goal for the load of the busiest target over its fair share."""


def targets(*speeds):
    return [
        TargetSpeed(TargetIncarnation(f"t{number}", 1), speed)
        for number, speed in enumerate(speeds, 1)
    ]


def split(speeds):
    return [
        Segment(first, last, owner, token)
        for token, (first, last, owner) in enumerate(split_by_speed(speeds), 1)
    ]


def moved(segments, moves):
    """Return the segments after moves that each lie within one segment."""
    result = []
    for segment in segments:
        next_key = segment.first
        inside = [
            keys for keys in sorted(moves) if segment.first <= keys[0] <= segment.last
        ]
        for first, last in inside:
            if next_key < first:
                result.append(Segment(next_key, first - 1, segment.owner, 1))
            result.append(Segment(first, last, moves[(first, last)], 2))
            next_key = last + 1
        if next_key <= segment.last:
            result.append(Segment(next_key, segment.last, segment.owner, 1))
    return result


def loads(segments, rates):
    """Return the sum of the key rates of each owner, by name."""
    load_by_name = defaultdict(float)
    for segment in segments:
        load_by_name[segment.owner.name] += sum(
            rate for key, rate in rates.items() if segment.first <= key <= segment.last
        )
    return load_by_name


def settle(segments, rates, speeds, rounds=12):
    """Plan and apply moves repeatedly.

    Returns the segments, and the number of moved keys over that of all keys.
    """
    changed = 0
    for _ in range(rounds):
        moves = Placement(segments, rates, speeds).plan()
        changed += sum(last - first + 1 for first, last in moves)
        segments = moved(segments, moves)
    assert [segment.first for segment in segments[1:]] == [
        segment.last + 1 for segment in segments[:-1]
    ]
    return segments, changed / KEYS


def test_a_split_by_speed_covers_all_keys():
    segments = split(targets(1, 1, 2))
    assert segments[0].first == 0
    assert segments[-1].last == KEYS - 1
    assert [segment.size for segment in segments] == [16384, 16384, 32768]


def test_busy_keys_that_lie_together_are_spread():
    speeds = targets(*[1.0] * 12)
    rates = {key: 1.0 for key in range(30_000, 30_200)}
    segments, _ = settle(split(speeds), rates, speeds)
    load_by_name = loads(segments, rates)
    assert max(load_by_name.values()) <= 2 * MAX_IMBALANCE * 200 / 12
    assert sum(1 for load in load_by_name.values() if load > 0) == 12


def test_a_dominant_key_has_a_fast_target_to_itself():
    speeds = targets(0.7, 0.7, 1.6, 0.7, 0.7, 1.6)
    rates = {key * 400: 0.3 for key in range(160)} | {777: 70.0}
    segments, _ = settle(split(speeds), rates, speeds)
    owner = next(
        segment.owner for segment in segments if segment.first <= 777 <= segment.last
    )
    assert owner.name in ("t3", "t6")
    assert loads(segments, rates)[owner.name] <= 70.0 + 2.0


def test_load_follows_speed():
    speeds = targets(0.5, 1.0, 1.5)
    rates = {key * 64: 0.2 for key in range(1024)}
    segments, _ = settle(split(targets(1, 1, 1)), rates, speeds)
    load_by_name = loads(segments, rates)
    assert load_by_name["t1"] < load_by_name["t2"] < load_by_name["t3"]


@pytest.mark.looptime
async def test_noise_moves_no_keys():
    """An even load varies by chance from the first report on."""
    rng = random.Random(4)
    speeds = targets(*[1.0] * 12)
    segments = split(speeds)
    board = LoadBoard()
    for _ in range(int(40 / REPORT_SECONDS)):
        await asyncio.sleep(REPORT_SECONDS)
        counts = defaultdict(int)
        for _ in range(int(200 * REPORT_SECONDS)):
            counts[rng.randrange(KEYS)] += 1
        board.add(LoadNotice("h", "z", "a", {}, {"s": dict(counts)}, {}))
        board.fade({})
        rates, window_seconds = board.key_rates("s"), board.rate_window_seconds("s")
        assert Placement(segments, rates, speeds, window_seconds).plan() == {}


@pytest.mark.looptime
async def test_rates_are_known_soon_after_the_first_report():
    board = LoadBoard()
    for _ in range(int(1.0 / REPORT_SECONDS)):
        await asyncio.sleep(REPORT_SECONDS)
        board.fade({})
        board.add(LoadNotice("h", "z", "a", {}, {"s": {7: 20}}, {}))
    assert board.key_rates("s")[7] == pytest.approx(20 / REPORT_SECONDS, rel=0.25)


@pytest.mark.parametrize("speed", [0.3, 1.0, 1.6])
def test_a_target_that_joins_gets_keys(speed):
    before = targets(*[1.0] * 11)
    after = [*before, TargetSpeed(TargetIncarnation("new", 1), speed)]
    rates = {key * 64: 0.1 for key in range(1024)}
    moves = Placement(split(before), rates, after).plan()
    assert any(owner.name == "new" for owner in moves.values())


def test_keys_of_a_target_that_left_go_to_several_others():
    before = targets(*[1.0] * 6)
    rates = {key * 16: 0.1 for key in range(4096)}
    moves = Placement(split(before), rates, before[1:]).plan()
    assert sum(last - first + 1 for first, last in moves) >= KEYS // 6
    assert len({owner for owner in moves.values()}) >= 3
    assert "t1" not in {owner.name for owner in moves.values()}


def test_without_targets_nothing_moves():
    assert Placement(split(targets(1, 1)), {5: 9.0}, []).plan() == {}


def test_segments_with_previous_owners_do_not_move_again():
    speeds = targets(1.0, 1.0)
    segments = split(speeds)
    moving = [
        Segment(
            segment.first,
            segment.last,
            segment.owner,
            1,
            previous_owners=(object(),),
        )
        for segment in segments
    ]
    rates = {key: 1.0 for key in range(100)}
    assert Placement(moving, rates, speeds).plan() == {}
