"""Chooses the targets that become the owners of slices of lost targets."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.balance.candidate import CandidateState
from balsamway.balance.move import Move

if TYPE_CHECKING:
    from balsamway.balance._plan_state import PlanState
    from balsamway.balance._planned_slice import PlannedSlice


def choose_standbys(plan_state: PlanState) -> tuple[Move, ...]:
    """Choose standbys for the slices without a fit one.

    A standby is in another availability zone than the owner, if there is one.
    The standbys of one owner are spread, so that the load of a lost target is
    spread over many targets.

    Args:
        plan_state: The shard after the planned changes.

    Returns:
        The new standby of each slice whose standby changes.
    """
    live = [
        candidate
        for candidate in plan_state.usable_targets
        if candidate.state is CandidateState.LIVE
    ]
    zones = {candidate.name: candidate.zone for candidate in live}
    if len(live) < 2:
        return ()
    inherited: dict[tuple[str, str], float] = defaultdict(float)
    unfit = []
    for planned in sorted(
        plan_state.slices.values(), key=lambda planned: planned.range
    ):
        if _is_fit(planned, zones):
            inherited[planned.owner, planned.standby] += planned.weight
        elif not planned.moving:
            unfit.append(planned)
    unfit.sort(key=lambda planned: (-planned.weight, planned.range))
    return tuple(_choose(plan_state, planned, zones, inherited) for planned in unfit)


def _is_fit(planned: PlannedSlice, zones: dict[str, str]) -> bool:
    """Return whether a slice's standby is live, and in another zone if any.

    Args:
        planned: The slice.
        zones: The zone of each live target, by name.
    """
    if planned.standby not in zones or planned.standby == planned.owner:
        return False
    has_other_zone = any(zone != zones.get(planned.owner) for zone in zones.values())
    return not has_other_zone or zones[planned.standby] != zones.get(planned.owner)


def _choose(
    plan_state: PlanState,
    planned: PlannedSlice,
    zones: dict[str, str],
    inherited: dict[tuple[str, str], float],
) -> Move:
    """Choose a slice's standby, and add the slice's weight to it.

    Args:
        plan_state: The shard.
        planned: The slice.
        zones: The zone of each live target, by name.
        inherited: The weight that each standby would get from each owner.
    """
    owner_zone = zones.get(planned.owner)
    others = [name for name in zones if name != planned.owner]
    in_other_zones = [name for name in others if zones[name] != owner_zone]

    def utilization_after_loss(name: str) -> tuple[float, int]:
        added = inherited[planned.owner, name] + planned.weight
        return plan_state.utilization(name, added), plan_state.tie_breaks[name]

    chosen = min(in_other_zones or others, key=utilization_after_loss)
    inherited[planned.owner, chosen] += planned.weight
    return Move(planned.range, chosen)
