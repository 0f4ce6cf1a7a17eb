"""Plans static hashing, the baseline that ignores load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance import CandidateState, Move, Plan

if TYPE_CHECKING:
    from balsamway.balance import PlacementInput


class StaticPlanner:
    """Assigns slice i to target i modulo the number of live targets."""

    def plan(self, state: PlacementInput) -> Plan:
        """Plan the moves to the static assignment.

        Args:
            state: The state of the shard; its loads are ignored.

        Returns:
            A plan of moves only; empty if no target is live.
        """
        names = sorted(
            candidate.name
            for candidate in state.candidates
            if candidate.state is CandidateState.LIVE
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
