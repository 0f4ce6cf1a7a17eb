from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from balsamway.balance import CandidateState, Move, Plan

if TYPE_CHECKING:
    from balsamway.balance import PlacementInput


class SpreadPlanner:
    """Spreads slices by count, moves one at a time, names standbys."""

    def plan(self, state: PlacementInput) -> Plan:
        names = [
            one.name for one in state.candidates if one.state is CandidateState.LIVE
        ]
        if not names:
            return Plan()
        counts = Counter({name: 0 for name in names})
        counts.update(one.owner for one in state.slices if one.owner in counts)
        moves = []
        for entry in state.slices:
            least = min(names, key=lambda name: (counts[name], name))
            if entry.moving_to:
                continue
            if entry.owner in counts and counts[entry.owner] <= counts[least] + 1:
                continue
            if entry.owner in counts and moves:
                continue
            if entry.owner and entry.owner not in counts:
                continue
            moves.append(Move(entry.range, least))
            counts[least] += 1
            if entry.owner in counts:
                counts[entry.owner] -= 1
        return Plan(moves=tuple(moves), standbys=self._standbys(state, names))

    def _standbys(self, state: PlacementInput, names: list[str]) -> tuple[Move, ...]:
        found = []
        for number, entry in enumerate(state.slices):
            others = [name for name in names if name != entry.owner]
            if entry.owner and others and entry.standby not in others:
                found.append(Move(entry.range, others[number % len(others)]))
        return tuple(found)
