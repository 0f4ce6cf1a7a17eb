from __future__ import annotations

from balsamway.balance import LoadEstimate, LoadRecorder
from balsamway.ownership.messages import KeyLoad, LoadReport, RangeLoad
from balsamway.slices import POSITION_END, KeyRange, ShardId
from tests.balance.conftest import even_ranges

SHARD = ShardId("m", "s")


def report(ranges, keys=()):
    return LoadReport(SHARD, 1.0, tuple(ranges), tuple(keys))


def feed(estimate, gateway, message, seconds=60, start=0.0):
    for second in range(seconds):
        estimate.update(gateway, message, start + second)


def test_the_reports_of_all_gateways_add_up():
    estimate = LoadEstimate()
    for gateway, load in (("a", 2.0), ("b", 3.0)):
        loads = [RangeLoad(item, 1.0, load / 4) for item in even_ranges(4)]
        feed(estimate, gateway, report(loads))
    loads = estimate.loads(even_ranges(4), 60.0)
    assert all(abs(each.load - 1.25) < 0.01 for each in loads)


def test_a_silent_gateway_no_longer_counts():
    estimate = LoadEstimate()
    whole = [RangeLoad(KeyRange(0, POSITION_END), 1.0, 4.0)]
    feed(estimate, "lost", report(whole))
    feed(estimate, "live", report(whole), seconds=70)
    estimate.forget_silent(now=69.0)
    assert abs(estimate.loads([KeyRange(0, POSITION_END)], 69.0)[0].load - 4.0) < 0.01


def test_a_hot_key_s_load_is_counted_where_the_key_is():
    estimate = LoadEstimate()
    halves = even_ranges(2)
    loads = [RangeLoad(halves[0], 9.0, 9.0), RangeLoad(halves[1], 1.0, 1.0)]
    feed(estimate, "a", report(loads, [KeyLoad(10, 8.0, 8.0)]))
    now = [KeyRange(0, 10), KeyRange(10, 11), KeyRange(11, POSITION_END)]
    found = [each.load for each in estimate.loads(now, 60.0)]
    assert abs(found[1] - 8.0) < 0.01
    assert abs(sum(found) - 10.0) < 0.01
    assert found[0] < 0.01


def test_the_recorder_reports_each_request_once():
    recorder = LoadRecorder()
    ranges = even_ranges(8)
    recorder.record(SHARD, 5, 0.5)
    first = recorder.take(SHARD, 1.0, ranges)
    recorder.record(SHARD, ranges[3].start, 0.25)
    second = recorder.take(SHARD, 1.0, ranges)
    assert [item.range for item in first.ranges] == [KeyRange(0, POSITION_END)]
    assert second.ranges == (RangeLoad(ranges[3], 1.0, 0.25),)
    assert recorder.take(SHARD, 1.0, ranges).ranges == ()


def test_a_queue_at_a_target_does_not_make_its_slices_seem_much_heavier():
    recorder = LoadRecorder()
    ranges = even_ranges(4)
    for _ in range(200):
        for item in ranges:
            recorder.record(SHARD, item.start, 0.01)
    recorder.take(SHARD, 1.0, ranges)
    for _ in range(200):
        for item in ranges:
            recorder.record(SHARD, item.start, 5.0 if item == ranges[2] else 0.01)
    loads = [item.busy_seconds for item in recorder.take(SHARD, 1.0, ranges).ranges]
    assert loads[2] < 1.5 * loads[0]


def test_chance_does_not_move_the_estimate_and_a_change_does(rng):
    estimate = LoadEstimate()
    halves = even_ranges(2)
    found = []
    for second in range(240):
        rate = 100 if second < 180 else 300
        counts = (
            sum(rng.random() < 0.1 for _ in range(10 * each)) for each in (rate, 100)
        )
        loads = [
            RangeLoad(item, float(count), count * 0.01)
            for item, count in zip(halves, counts, strict=True)
        ]
        estimate.update("a", report(loads), float(second))
        found.append(estimate.loads(halves, float(second))[0].load)
    steady = found[120:180]
    assert max(steady) - min(steady) < 0.05
    assert found[190] > 2.4
