"""The interface to placement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.balance.placement_input import PlacementInput
    from balsamway.balance.plan import Plan


class Planner(Protocol):
    """Decides which slices to split, merge and move; keeps its own history."""

    def plan(self, state: PlacementInput) -> Plan:
        """Plans the next changes of one shard.

        Args:
            state: The shard as it is now.

        Returns:
            The changes; an empty plan where nothing is worth its move.
        """
        ...
