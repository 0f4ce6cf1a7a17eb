"""Splits slices that have too much load to be placed well."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from balsamway.balance._planned_slice import PlannedSlice
from balsamway.balance.split import Split
from balsamway.slices import KeyRange

if TYPE_CHECKING:
    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._plan_state import PlanState

MAX_SLICE_FRACTION = 0.1
"""The most load of a slice that is not split, as a fraction of the load of a
target with a fair share."""

HOT_KEY_FRACTION = 0.05
"""A key with more than this fraction of the load of a target with a fair share
becomes a slice of its own."""

MAX_PARTS = 8
"""The most parts that a slice without hot keys is split into at once."""


def split_heavy(
    plan_state: PlanState, fair_share: FairShare, room: int
) -> tuple[Split, ...]:
    """Split heavy slices around their hot keys, or else into equal parts.

    Args:
        plan_state: The shard, which is changed to the state after the splits.
        fair_share: The load that each target should have.
        room: How many more slices the shard may have.

    Returns:
        The splits.
    """
    max_weight = fair_share.utilization * MAX_SLICE_FRACTION
    heavy = [
        planned
        for planned in plan_state.slices.values()
        if planned.weight > max_weight
        and planned.range.size > 1
        and plan_state.may_change(planned)
    ]
    heavy.sort(key=lambda planned: (-planned.weight, planned.range))
    splits = []
    for planned in heavy:
        split_points = _split_points(plan_state, planned, fair_share.utilization)
        if not split_points or len(split_points) > room:
            continue
        room -= len(split_points)
        splits.append(Split(planned.range, split_points))
        plan_state.replace([planned], _parts(plan_state, planned, split_points))
    return tuple(splits)


def _split_points(
    plan_state: PlanState, planned: PlannedSlice, utilization: float
) -> tuple[int, ...]:
    """Return the starts of the parts of a slice after the first."""
    keys = [
        position
        for position, load in plan_state.key_loads(planned.range)
        if load > utilization * HOT_KEY_FRACTION
    ]
    split_points = {
        split_point for position in keys for split_point in (position, position + 1)
    }
    inside = tuple(
        sorted(
            split_point
            for split_point in split_points
            if planned.range.start < split_point < planned.range.end
        )
    )
    if inside:
        return inside
    wanted_parts = int(planned.weight / (utilization * MAX_SLICE_FRACTION)) + 1
    parts = min(wanted_parts, MAX_PARTS, planned.range.size)
    step = planned.range.size // parts
    return tuple(planned.range.start + step * part for part in range(1, parts))


def _parts(
    plan_state: PlanState, planned: PlannedSlice, split_points: tuple[int, ...]
) -> list[PlannedSlice]:
    """Return the parts of a split slice, with their loads and weights.

    The load of known keys counts where they are. The rest of the load is
    spread evenly over the positions.
    """
    bounds = (planned.range.start, *split_points, planned.range.end)
    keys = plan_state.key_loads(planned.range)
    spread = max(planned.load - sum(load for _, load in keys), 0.0)
    idle = planned.weight - planned.load
    parts = []
    for start, end in itertools.pairwise(bounds):
        part = KeyRange(start, end)
        fraction = part.size / planned.range.size
        key_load = sum(load for position, load in keys if position in part)
        load = spread * fraction + key_load
        weight = load + idle * fraction
        parts.append(
            PlannedSlice(
                part, planned.owner, planned.standby, planned.moving, weight, load
            )
        )
    return parts
