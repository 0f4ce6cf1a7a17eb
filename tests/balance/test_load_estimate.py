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


def test_the_reports_of_all_gateways_are_summed():
    estimate = LoadEstimate()
    for gateway, load in (("a", 2.0), ("b", 3.0)):
        loads = [
            RangeLoad(slice_range, 1.0, load / 4) for slice_range in even_ranges(4)
        ]
        feed(estimate, gateway, report(loads))
    loads = estimate.loads(even_ranges(4), 60.0)
    assert all(abs(slice_load.load - 1.25) < 0.01 for slice_load in loads)


def test_a_gateway_without_reports_no_longer_counts():
    estimate = LoadEstimate()
    whole = [RangeLoad(KeyRange(0, POSITION_END), 1.0, 4.0)]
    feed(estimate, "lost", report(whole))
    feed(estimate, "live", report(whole), seconds=70)
    estimate.drop_silent_gateways(now=69.0)
    assert abs(estimate.loads([KeyRange(0, POSITION_END)], 69.0)[0].load - 4.0) < 0.01


def test_the_load_of_a_hot_key_is_counted_where_the_key_is():
    estimate = LoadEstimate()
    halves = even_ranges(2)
    loads = [RangeLoad(halves[0], 9.0, 9.0), RangeLoad(halves[1], 1.0, 1.0)]
    feed(estimate, "a", report(loads, [KeyLoad(10, 8.0, 8.0)]))
    ranges = [KeyRange(0, 10), KeyRange(10, 11), KeyRange(11, POSITION_END)]
    estimated = [slice_load.load for slice_load in estimate.loads(ranges, 60.0)]
    assert abs(estimated[1] - 8.0) < 0.01
    assert abs(sum(estimated) - 10.0) < 0.01
    assert estimated[0] < 0.01


def test_the_recorder_reports_each_request_once():
    recorder = LoadRecorder()
    ranges = even_ranges(8)
    recorder.record(SHARD, 5, 0.5)
    first = recorder.take(SHARD, 1.0, ranges)
    recorder.record(SHARD, ranges[3].start, 0.25)
    second = recorder.take(SHARD, 1.0, ranges)
    assert [range_load.range for range_load in first.ranges] == [
        KeyRange(0, POSITION_END)
    ]
    assert second.ranges == (RangeLoad(ranges[3], 1.0, 0.25),)
    assert recorder.take(SHARD, 1.0, ranges).ranges == ()


def test_a_queue_at_a_target_hardly_raises_the_load_of_its_slices():
    recorder = LoadRecorder()
    ranges = even_ranges(4)
    for _ in range(200):
        for slice_range in ranges:
            recorder.record(SHARD, slice_range.start, 0.01)
    recorder.take(SHARD, 1.0, ranges)
    for _ in range(200):
        for slice_range in ranges:
            recorder.record(
                SHARD, slice_range.start, 5.0 if slice_range == ranges[2] else 0.01
            )
    loads = [
        range_load.busy_seconds
        for range_load in recorder.take(SHARD, 1.0, ranges).ranges
    ]
    assert loads[2] < 1.5 * loads[0]


def test_noise_does_not_change_the_estimate_and_a_change_does(rng):
    estimate = LoadEstimate()
    halves = even_ranges(2)
    estimated = []
    for second in range(240):
        rate = 100 if second < 180 else 300
        counts = (
            sum(rng.random() < 0.1 for _ in range(10 * slice_rate))
            for slice_rate in (rate, 100)
        )
        loads = [
            RangeLoad(slice_range, float(count), count * 0.01)
            for slice_range, count in zip(halves, counts, strict=True)
        ]
        estimate.update("a", report(loads), float(second))
        estimated.append(estimate.loads(halves, float(second))[0].load)
    steady = estimated[120:180]
    assert max(steady) - min(steady) < 0.05
    assert estimated[190] > 2.4
