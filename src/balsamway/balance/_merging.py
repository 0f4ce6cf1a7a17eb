"""Merges cold adjacent slices, so that the number of slices stays bounded."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from balsamway.balance._planned_slice import PlannedSlice
from balsamway.slices import KeyRange

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._plan_state import PlanState

COLD_SLICE_FRACTION = 0.08
"""The most load of a merged slice, as a fraction of the load of a target with
a fair share."""

MAX_MERGES = 16
"""The most pairs of slices that one plan merges."""


def merge_cold(
    plan_state: PlanState,
    fair_share: FairShare,
    threshold: int,
    is_settled: Callable[[KeyRange], bool],
) -> tuple[KeyRange, ...]:
    """Merge adjacent slices of one owner that have little load.

    Args:
        plan_state: The shard, which is changed to the state after the merges.
        fair_share: The load that each target should have.
        threshold: The number of slices from which down none are merged.
        is_settled: Tells whether a slice is old enough to be merged.

    Returns:
        The union of each merged pair.
    """
    excess_count = len(plan_state.slices) - threshold
    if excess_count <= 0:
        return ()
    pairs = _cold_pairs(plan_state, fair_share, is_settled)
    merges: list[KeyRange] = []
    used: set[KeyRange] = set()
    for first, second in pairs:
        if len(merges) >= min(excess_count, MAX_MERGES):
            break
        if first.range in used or second.range in used:
            continue
        used.update((first.range, second.range))
        merged = _merged(first, second)
        merges.append(merged.range)
        plan_state.replace([first, second], [merged])
    return tuple(merges)


def _cold_pairs(
    plan_state: PlanState, fair_share: FairShare, is_settled: Callable[[KeyRange], bool]
) -> list[tuple[PlannedSlice, PlannedSlice]]:
    """Return the pairs of slices that may merge, the least load first."""
    order = sorted(plan_state.slices.values(), key=lambda planned: planned.range)
    pairs = [
        (first, second)
        for first, second in itertools.pairwise(order)
        if _may_merge(first, second, fair_share.utilization * COLD_SLICE_FRACTION)
        and is_settled(first.range)
        and is_settled(second.range)
    ]
    pairs.sort(key=lambda pair: (pair[0].weight + pair[1].weight, pair[0].range))
    return pairs


def _may_merge(first: PlannedSlice, second: PlannedSlice, limit: float) -> bool:
    if first.moving or second.moving or not first.owner:
        return False
    if first.owner != second.owner:
        return False
    return first.weight + second.weight <= limit


def _merged(first: PlannedSlice, second: PlannedSlice) -> PlannedSlice:
    return PlannedSlice(
        KeyRange(first.range.start, second.range.end),
        first.owner,
        first.standby,
        False,
        first.weight + second.weight,
        first.load + second.load,
    )
