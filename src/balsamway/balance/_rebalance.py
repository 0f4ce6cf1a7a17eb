"""Moves slices from targets with a surplus of load to those with a deficit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._move_budget import MoveBudget
    from balsamway.balance._plan_state import PlanState
    from balsamway.balance._planned_slice import PlannedSlice
    from balsamway.balance.rebalance_policy import RebalancePolicy

MAX_OVERSHOOT_RATIO = 1.1
"""How much more than the wanted load a moved slice may have, as a ratio."""


def rebalance(
    plan_state: PlanState,
    fair_share: FairShare,
    budget: MoveBudget,
    policy: RebalancePolicy,
    is_settled: Callable[[PlannedSlice], bool],
) -> None:
    """Balance the load within a budget.

    Each move goes from the target with the highest relative load to the one
    with the lowest. It never moves much more than the surplus of the first or
    the deficit of the second.

    Args:
        plan_state: The shard, to which the moves are added.
        fair_share: The load that each target should have.
        budget: The load that may be moved.
        policy: When the load is even enough, and the most moves.
        is_settled: Tells whether a slice may be moved again.
    """
    total = plan_state.total
    for _ in range(policy.max_moves):
        found = _next_move(plan_state, fair_share, policy.end_ratio, is_settled)
        if found is None or not budget.spend(found[0].weight / total):
            return
        plan_state.move(*found)


def _next_move(
    plan_state: PlanState,
    fair_share: FairShare,
    end_ratio: float,
    is_settled: Callable[[PlannedSlice], bool],
) -> tuple[PlannedSlice, str] | None:
    """Return the next slice to move and its destination, or None."""
    names = [candidate.name for candidate in plan_state.usable_targets]
    names.sort(
        key=lambda name: (
            -fair_share.relative_load(plan_state, name),
            plan_state.tie_breaks[name],
        )
    )
    destinations = [name for name in names if name not in fair_share.dominant_key_loads]
    if not destinations:
        return None
    destination = destinations[-1]
    if _is_even(plan_state, fair_share, end_ratio, names[0], destination):
        return None
    for source in names:
        if source == destination or fair_share.relative_load(plan_state, source) <= 1.0:
            return None
        planned = _choose(plan_state, fair_share, source, destination, is_settled)
        if planned is not None:
            return planned, destination
    return None


def _is_even(
    plan_state: PlanState,
    fair_share: FairShare,
    end_ratio: float,
    source: str,
    destination: str,
) -> bool:
    """Return whether the load is even enough to stop rebalancing."""
    most = fair_share.relative_load(plan_state, source)
    least = fair_share.relative_load(plan_state, destination)
    return most <= end_ratio and least >= 1.0 / end_ratio


def _choose(
    plan_state: PlanState,
    fair_share: FairShare,
    source: str,
    destination: str,
    is_settled: Callable[[PlannedSlice], bool],
) -> PlannedSlice | None:
    """Return the slice of the source that is best to move, or None.

    That is the heaviest slice that fits the wanted load. If there is none, it
    is the lightest, if the destination then has less utilization than the
    source has now.
    """
    source_surplus = (
        (fair_share.relative_load(plan_state, source) - 1.0)
        * fair_share.utilization
        * plan_state.capacity[source]
    )
    destination_deficit = (
        (1.0 - fair_share.relative_load(plan_state, destination))
        * fair_share.utilization
        * plan_state.capacity[destination]
    )
    wanted = min(source_surplus, destination_deficit)
    movable = [
        planned
        for planned in plan_state.slices_of(source)
        if plan_state.may_change(planned)
        and is_settled(planned)
        and not _is_dominant_key(fair_share, planned, source)
    ]
    fitting = [
        planned for planned in movable if planned.weight <= wanted * MAX_OVERSHOOT_RATIO
    ]
    if fitting:
        return max(fitting, key=lambda planned: (planned.weight, planned.range))
    if not movable:
        return None
    smallest = min(movable, key=lambda planned: (planned.weight, planned.range))
    before = plan_state.utilization(source)
    after = plan_state.utilization(destination, smallest.weight)
    return smallest if after < before else None


def _is_dominant_key(fair_share: FairShare, planned: PlannedSlice, target: str) -> bool:
    """Return whether a slice is the dominant key of its target."""
    return (
        planned.range.size == 1
        and fair_share.dominant_key_loads.get(target) == planned.weight
    )
