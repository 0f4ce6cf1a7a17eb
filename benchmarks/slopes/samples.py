"""Values of any size to measure with."""

from __future__ import annotations

import random
from itertools import pairwise

from balsamway.balance import Candidate, LoadEstimate, LoadRecorder, PlacementInput
from balsamway.ownership.messages import LoadReport
from balsamway.slices import (
    POSITION_END,
    KeyRange,
    ShardId,
    ShardRecord,
    ShardView,
    SliceEntry,
    ViewSlice,
    Witness,
)
from balsamway.targets.orders import GrantedRange, GrantOrder

SHARD = ShardId("workspace-of-average-name", "inventory", 17)
SEED = 1


def ranges(count: int) -> tuple[KeyRange, ...]:
    """Cuts the key space evenly."""
    step = POSITION_END // count
    bounds = [step * index for index in range(count)] + [POSITION_END]
    return tuple(KeyRange(*pair) for pair in pairwise(bounds))


def target_name(index: int) -> str:
    """Names a target."""
    return f"inventory-target-{index:05}"


def view(slices: int, targets: int = 30) -> ShardView:
    """Makes a gateway's view of a shard."""
    parts = tuple(
        ViewSlice(item, target_name(index % targets), 7 << 24, checked=True)
        for index, item in enumerate(ranges(slices))
    )
    return ShardView(SHARD, 7, 120, 2.0, parts)


def record(slices: int, targets: int = 30) -> ShardRecord:
    """Makes a shard's record."""
    roster = tuple(Witness(f"entry-host-{index:05}", 1 << 60) for index in range(5))
    return ShardRecord(
        SHARD, 120, roster[0], 7, roster, entries(slices, targets), 7 << 24, "a" * 32
    )


def entries(slices: int, targets: int) -> tuple[SliceEntry, ...]:
    """Makes slices with owners and standbys."""
    return tuple(
        SliceEntry(
            item,
            target_name(index % targets),
            7 << 24,
            target_name((index + 1 + index // targets) % targets),
        )
        for index, item in enumerate(ranges(slices))
    )


def placement_input(slices: int, targets: int) -> PlacementInput:
    """Makes a balanced shard as placement sees it."""
    candidates = tuple(
        Candidate(target_name(index), f"zone-{index % 3}") for index in range(targets)
    )
    estimate = loaded_estimate(1, slices)
    loads = estimate.loads(ranges(slices), 1.0)
    return PlacementInput(
        entries(slices, targets), candidates, loads, estimate.hot_keys(), now=1.0
    )


def filled_recorder(slices: int, requests: int = 5000) -> LoadRecorder:
    """Makes a gateway's counts after some requests."""
    rng = random.Random(SEED)
    recorder = LoadRecorder()
    recorder.record(SHARD, 0, 0.01)
    recorder.take(SHARD, 1.0, ranges(slices))
    for _ in range(requests):
        position = int(rng.random() ** 4 * 20_000) * (POSITION_END // 20_000)
        recorder.record(SHARD, position, rng.expovariate(100.0))
    return recorder


def load_report(slices: int) -> LoadReport:
    """Makes a gateway's report."""
    return filled_recorder(slices).take(SHARD, 1.0, ranges(slices))


def loaded_estimate(gateways: int, slices: int) -> LoadEstimate:
    """Makes a leader's estimate after a report of each gateway."""
    estimate = LoadEstimate()
    report = load_report(slices)
    for index in range(gateways):
        estimate.update(f"entry-host-{index:05}", report, 0.0)
    return estimate


def grant(count: int) -> GrantOrder:
    """Makes a grant of some ranges."""
    granted = tuple(GrantedRange(item, 7 << 24) for item in ranges(count))
    return GrantOrder(SHARD, 7, granted, 123456.789, 4711)
