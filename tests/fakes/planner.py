from __future__ import annotations

from balsamway.balance import CandidateState, Move, PlacementInput, Plan


class FakePlanner:
    """Assigns unowned slices to targets in turn, and a standby to each."""

    def plan(self, state: PlacementInput) -> Plan:
        live = [
            candidate.name
            for candidate in state.candidates
            if candidate.state is CandidateState.LIVE
        ]
        if not live:
            return Plan()
        moves = []
        standbys = []
        for number, entry in enumerate(state.slices):
            owner = entry.owner
            if not owner:
                owner = live[number % len(live)]
                moves.append(Move(entry.range, owner))
            if entry.standby not in live or entry.standby == owner:
                others = [name for name in live if name != owner]
                if others:
                    standbys.append(Move(entry.range, others[number % len(others)]))
        return Plan(moves=tuple(moves), standbys=tuple(standbys))
