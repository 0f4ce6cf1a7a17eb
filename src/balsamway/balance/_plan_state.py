"""The state of a shard after the changes planned so far."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

import xxhash

from balsamway.balance._planned_slice import PlannedSlice
from balsamway.balance.candidate import Candidate, CandidateState
from balsamway.balance.move import Move
from balsamway.slices import POSITION_END

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.balance.placement_input import PlacementInput
    from balsamway.slices import KeyRange

IDLE_LOAD_FRACTION = 0.02
"""The fraction of the total load that is added and spread over the key space,
so that slices without load are spread over the targets as well."""

WARMING_CAPACITY_FRACTION = 0.25
"""The fraction of its capacity that a target counts for in its cold start."""


class PlanState:
    """The slices and targets of a shard with their loads.

    It changes as moves, splits and merges are planned. The load of a slice
    that counts here is its weight; see `PlannedSlice`.
    """

    def __init__(self, state: PlacementInput, seed: int) -> None:
        """Start from the present state of a shard.

        Args:
            state: The present state.
            seed: Breaks ties between targets.
        """
        self.moves: list[Move] = []
        self.moved_ranges: set[KeyRange] = set()
        self.candidates = {candidate.name: candidate for candidate in state.candidates}
        self.usable_targets = tuple(
            candidate
            for candidate in sorted(
                state.candidates, key=lambda candidate: candidate.name
            )
            if candidate.state in (CandidateState.LIVE, CandidateState.WARMING)
        )
        """The targets that may own slices, in the order of names."""
        self.capacity = {
            candidate.name: _capacity(candidate) for candidate in self.usable_targets
        }
        self.tie_breaks = {
            candidate.name: xxhash.xxh64_intdigest(candidate.name.encode(), seed=seed)
            for candidate in self.usable_targets
        }
        self._keys = sorted((key.position, key.busy_seconds) for key in state.hot_keys)
        self._positions = [position for position, _ in self._keys]
        self.slices = {planned.range: planned for planned in _planned_slices(state)}
        self._weights = dict.fromkeys(self.capacity, 0.0)
        self._add_weights(self.slices.values())

    @property
    def total(self) -> float:
        """The weight of all slices."""
        return sum(planned.weight for planned in self.slices.values())

    @property
    def mean_utilization(self) -> float:
        """The weight of all slices per unit of capacity."""
        return self.total / sum(self.capacity.values())

    def weight(self, target: str) -> float:
        """Return the weight of a usable target's slices.

        Slices that are moving to the target are included.

        Args:
            target: The name of the target.
        """
        return self._weights[target]

    def utilization(self, target: str, added: float = 0.0) -> float:
        """Return a target's weight per unit of its capacity.

        Args:
            target: The name of a usable target.
            added: A weight to add to that of the target's slices.
        """
        return (self._weights[target] + added) / self.capacity[target]

    def is_usable(self, target: str) -> bool:
        """Return whether a target may own slices."""
        return target in self.capacity

    def least_loaded(self, added: float, names: Iterable[str]) -> str:
        """Return the target with the least utilization after adding a weight.

        Args:
            added: The weight to add.
            names: The names of the targets to choose from.

        Returns:
            The name of the target.
        """
        return min(
            names,
            key=lambda name: (self.utilization(name, added), self.tie_breaks[name]),
        )

    def may_change(self, planned: PlannedSlice) -> bool:
        """Return whether a slice may be changed, as nothing moves it yet."""
        return not planned.moving and planned.range not in self.moved_ranges

    def slices_of(self, target: str) -> list[PlannedSlice]:
        """Return the slices of a target, in order."""
        return [
            planned
            for planned in sorted(
                self.slices.values(), key=lambda planned: planned.range
            )
            if planned.owner == target
        ]

    def move(self, planned: PlannedSlice, destination: str) -> None:
        """Plan a move.

        Args:
            planned: A slice that is not moving.
            destination: The target that is to own it.
        """
        move = Move(planned.range, destination)
        self.moves.append(move)
        self.moved_ranges.add(planned.range)
        self.slices[planned.range] = planned.after_move(move)
        if planned.owner in self._weights:
            self._weights[planned.owner] -= planned.weight
        self._weights[destination] += planned.weight

    def replace(self, old: Iterable[PlannedSlice], new: Iterable[PlannedSlice]) -> None:
        """Replace slices by others of the same owner.

        Args:
            old: The slices to remove.
            new: The slices to add. They cover the same positions.
        """
        for planned in old:
            del self.slices[planned.range]
        for planned in new:
            self.slices[planned.range] = planned

    def key_loads(self, searched_range: KeyRange) -> list[tuple[int, float]]:
        """Return the known keys in a range.

        Args:
            searched_range: The range.

        Returns:
            The position and the load of each key, in the order of positions.
        """
        first = bisect_left(self._positions, searched_range.start)
        last = bisect_left(self._positions, searched_range.end)
        return self._keys[first:last]

    def _add_weights(self, slices: Iterable[PlannedSlice]) -> None:
        for planned in slices:
            if planned.owner in self._weights:
                self._weights[planned.owner] += planned.weight


def _capacity(candidate: Candidate) -> float:
    """Return the capacity that counts for a target, which is never zero."""
    capacity = max(candidate.capacity, 1e-6)
    if candidate.state is CandidateState.WARMING:
        return capacity * WARMING_CAPACITY_FRACTION
    return capacity


def _planned_slices(state: PlacementInput) -> list[PlannedSlice]:
    """Return the slices of a shard with their loads and weights."""
    loads = {slice_load.range: slice_load.load for slice_load in state.loads}
    total = sum(loads.get(entry.range, 0.0) for entry in state.slices)
    idle = total * IDLE_LOAD_FRACTION if total > 0.0 else 1.0
    slices = []
    for entry in state.slices:
        load = loads.get(entry.range, 0.0)
        weight = load + idle * entry.range.size / POSITION_END
        slices.append(PlannedSlice.of(entry, load, weight))
    return slices
