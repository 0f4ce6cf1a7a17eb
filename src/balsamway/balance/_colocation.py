"""Moves light slices to the owner of a neighbour, so that they can merge."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._move_budget import MoveBudget
    from balsamway.balance._plan_state import PlanState
    from balsamway.balance._planned_slice import PlannedSlice

LIGHT_SLICE_FRACTION = 0.025
"""Slices with at most this fraction of the load of a target with a fair share
may move to the owner of a neighbour."""

MAX_COLOCATED_SLICES = 8
"""The most slices that one plan moves to the owner of a neighbour."""


def colocate_light(
    plan_state: PlanState,
    fair_share: FairShare,
    budget: MoveBudget,
    threshold: int,
    is_settled: Callable[[PlannedSlice], bool],
) -> None:
    """Move the lightest slices to the owner of a neighbour.

    Args:
        plan_state: The shard, to which the moves are added.
        fair_share: The load that each target should have.
        budget: The load that may be moved.
        threshold: The number of slices from which down none is moved.
        is_settled: Tells whether a slice may be moved.
    """
    excess_count = min(len(plan_state.slices) - threshold, MAX_COLOCATED_SLICES)
    if excess_count <= 0:
        return
    total = plan_state.total
    ranges = sorted(plan_state.slices)
    indices = {slice_range: index for index, slice_range in enumerate(ranges)}
    for planned in _light(plan_state, fair_share, is_settled):
        index = indices[planned.range]
        near = [
            plan_state.slices[slice_range]
            for slice_range in ranges[max(index - 1, 0) : index + 2]
        ]
        owner = _neighbour_owner(plan_state, planned, near)
        if owner is None:
            continue
        if not budget.spend(planned.weight / total):
            return
        plan_state.move(planned, owner)
        excess_count -= 1
        if excess_count == 0:
            return


def _light(
    plan_state: PlanState,
    fair_share: FairShare,
    is_settled: Callable[[PlannedSlice], bool],
) -> list[PlannedSlice]:
    """Return the light slices that may move, the least load first."""
    limit = fair_share.utilization * LIGHT_SLICE_FRACTION
    found = [
        planned
        for planned in plan_state.slices.values()
        if planned.weight <= limit
        and plan_state.may_change(planned)
        and is_settled(planned)
    ]
    return sorted(found, key=lambda planned: (planned.weight, planned.range))


def _neighbour_owner(
    plan_state: PlanState, planned: PlannedSlice, near: list[PlannedSlice]
) -> str | None:
    """Return the owner to move a slice to.

    Args:
        plan_state: The shard.
        planned: The slice.
        near: The slice and its neighbours.

    Returns:
        The less loaded owner of a neighbour. None if there is none, or if a
        neighbour has the same owner already.
    """
    if any(
        neighbour.owner == planned.owner
        for neighbour in near
        if neighbour is not planned
    ):
        return None
    owners = [
        neighbour.owner
        for neighbour in near
        if neighbour is not planned
        and plan_state.may_change(neighbour)
        and plan_state.is_usable(neighbour.owner)
    ]
    if not owners:
        return None
    return plan_state.least_loaded(planned.weight, owners)
