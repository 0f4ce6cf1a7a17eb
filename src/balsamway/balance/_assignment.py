"""Assigns slices whose owner may not keep them to other targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance.candidate import CandidateState

if TYPE_CHECKING:
    from balsamway.balance._plan_state import PlanState
    from balsamway.balance._planned_slice import PlannedSlice


def assign_unassigned(plan_state: PlanState) -> None:
    """Move every slice off targets that are draining, lost or unknown.

    Slices without an owner are assigned in the same way. The slices with the
    most load go first, each to the target with the least utilization then.

    Args:
        plan_state: The shard, to which the moves are added.
    """
    unassigned = [
        planned
        for planned in plan_state.slices.values()
        if not planned.moving and not plan_state.is_usable(planned.owner)
    ]
    unassigned.sort(key=lambda planned: (-planned.weight, planned.range))
    for planned in unassigned:
        plan_state.move(planned, _choose_target(plan_state, planned))


def _choose_target(plan_state: PlanState, planned: PlannedSlice) -> str:
    """Return the standby if the owner is lost, else the least loaded target.

    Targets in their cold start are chosen only if there are no others.
    """
    if _is_lost(plan_state, planned.owner) and _is_live(plan_state, planned.standby):
        return planned.standby
    live = [
        candidate.name
        for candidate in plan_state.usable_targets
        if _is_live(plan_state, candidate.name)
    ]
    names = live or [candidate.name for candidate in plan_state.usable_targets]
    return plan_state.least_loaded(planned.weight, names)


def _is_lost(plan_state: PlanState, target: str) -> bool:
    candidate = plan_state.candidates.get(target)
    return candidate is not None and candidate.state is CandidateState.LOST


def _is_live(plan_state: PlanState, target: str) -> bool:
    candidate = plan_state.candidates.get(target)
    return candidate is not None and candidate.state is CandidateState.LIVE
