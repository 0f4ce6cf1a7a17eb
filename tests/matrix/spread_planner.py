from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from balsamway.balance import CandidateState, Move, Plan

if TYPE_CHECKING:
    from balsamway.balance import PlacementInput


class SpreadPlanner:
    """Spread slices by count, one move at a time, and choose standbys."""

    def plan(self, state: PlacementInput) -> Plan:
        names = [
            candidate.name
            for candidate in state.candidates
            if candidate.state is CandidateState.LIVE
        ]
        if not names:
            return Plan()
        counts = Counter({name: 0 for name in names})
        counts.update(entry.owner for entry in state.slices if entry.owner in counts)
        moves = []
        for entry in state.slices:
            least_loaded = min(names, key=lambda name: (counts[name], name))
            if entry.moving_to:
                continue
            if (
                entry.owner in counts
                and counts[entry.owner] <= counts[least_loaded] + 1
            ):
                continue
            if entry.owner in counts and moves:
                continue
            if entry.owner and entry.owner not in counts:
                continue
            moves.append(Move(entry.range, least_loaded))
            counts[least_loaded] += 1
            if entry.owner in counts:
                counts[entry.owner] -= 1
        return Plan(moves=tuple(moves), standbys=self._standbys(state, names))

    def _standbys(self, state: PlacementInput, names: list[str]) -> tuple[Move, ...]:
        standbys = []
        for number, entry in enumerate(state.slices):
            others = [name for name in names if name != entry.owner]
            if entry.owner and others and entry.standby not in others:
                standbys.append(Move(entry.range, others[number % len(others)]))
        return tuple(standbys)
