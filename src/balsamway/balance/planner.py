"""The interface of placement planners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.balance.placement_input import PlacementInput
    from balsamway.balance.plan import Plan


class Planner(Protocol):
    """Plans which slices to split, merge and move; keeps its own history."""

    def plan(self, state: PlacementInput) -> Plan:
        """Plan the next changes of one shard.

        Args:
            state: The present state of the shard.

        Returns:
            The changes, or an empty plan if no change is worth its cost.
        """
        ...
