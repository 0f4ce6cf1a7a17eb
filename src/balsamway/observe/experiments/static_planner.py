"""Static hashing: the baseline that never looks at load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance import CandidateState, Move, Plan

if TYPE_CHECKING:
    from balsamway.balance import PlacementInput


class StaticPlanner:
    """Gives slice number i to target i modulo the number of targets."""

    def plan(self, state: PlacementInput) -> Plan:
        """Plans the moves that the arithmetic demands.

        Args:
            state: The shard; its loads are ignored.

        Returns:
            Moves only.
        """
        names = sorted(
            each.name for each in state.candidates if each.state is CandidateState.LIVE
        )
        if not names:
            return Plan()
        wanted = [names[index % len(names)] for index in range(len(state.slices))]
        return Plan(
            moves=tuple(
                Move(entry.range, owner)
                for entry, owner in zip(state.slices, wanted, strict=True)
                if entry.owner != owner
            )
        )
