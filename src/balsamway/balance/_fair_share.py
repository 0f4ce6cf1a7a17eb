"""The load that each target should have, as single keys cannot be divided."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.balance._plan_state import PlanState


@dataclass(frozen=True, slots=True)
class FairShare:
    """The utilization that all targets should have.

    A target that a dominant key alone fills is an exception. It should have
    only that key.
    """

    utilization: float
    """The load per unit of capacity of the targets without dominant key."""
    dominant_key_loads: dict[str, float]
    """The load of the dominant key of each target that has one."""

    @classmethod
    def of(cls, plan_state: PlanState) -> FairShare:
        """Compute the fair share of the targets.

        A key is dominant if its load is above a fair share. Dominant keys and
        their targets are left out of the fair share of the others.

        Args:
            plan_state: The shard.

        Returns:
            The fair share.
        """
        load = plan_state.total
        capacity = sum(plan_state.capacity.values())
        dominant_key_loads: dict[str, float] = {}
        for weight, owner in _keys_by_load(plan_state):
            if owner in dominant_key_loads or owner not in plan_state.capacity:
                continue
            owner_capacity = plan_state.capacity[owner]
            if (
                capacity - owner_capacity <= 0.0
                or weight / owner_capacity <= load / capacity
            ):
                break
            dominant_key_loads[owner] = weight
            load -= weight
            capacity -= owner_capacity
        return cls(load / capacity, dominant_key_loads)

    def relative_load(self, plan_state: PlanState, target: str) -> float:
        """Return a target's load relative to its fair share.

        Args:
            plan_state: The shard.
            target: The name of a usable target.

        Returns:
            The load over the fair share, which is 1 for a fair load. A target
            with a dominant key has a fair load if it has nothing else.
        """
        if self.utilization <= 0.0:
            return 1.0
        key_load = self.dominant_key_loads.get(target)
        if key_load is None:
            return plan_state.utilization(target) / self.utilization
        rest = (plan_state.weight(target) - key_load) / plan_state.capacity[target]
        return 1.0 + rest / self.utilization


def _keys_by_load(plan_state: PlanState) -> list[tuple[float, str]]:
    """Return the load and owner of each known key, the highest load first."""
    found = []
    for planned in plan_state.slices.values():
        if planned.range.size == 1:
            found.append((planned.weight, planned.owner))
            continue
        for _, load in plan_state.key_loads(planned.range):
            found.append((load, planned.owner))
    return sorted(found, key=lambda entry: (-entry[0], entry[1]))
