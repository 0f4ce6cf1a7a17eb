"""The shard as the plan so far would leave it."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

import xxhash

from balsamway.balance._board_slice import BoardSlice
from balsamway.balance.candidate import Candidate, CandidateState
from balsamway.balance.move import Move
from balsamway.slices import POSITION_END

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.balance.placement_input import PlacementInput
    from balsamway.slices import KeyRange

IDLE_SHARE = 0.02
"""The share of the counted load that goes by key space and not by load."""

WARMING_CAPACITY_SHARE = 0.25
"""What a target counts for while it is in its cold start."""


class Board:
    """Slices and targets with their loads, changed as the plan grows."""

    def __init__(self, state: PlacementInput, seed: int) -> None:
        """Sets up the board.

        Args:
            state: The shard as it is.
            seed: Breaks ties between targets.
        """
        self.moves: list[Move] = []
        self.moved: set[KeyRange] = set()
        self.candidates = {each.name: each for each in state.candidates}
        self.usable = tuple(
            each
            for each in sorted(state.candidates, key=lambda each: each.name)
            if each.state in (CandidateState.LIVE, CandidateState.WARMING)
        )
        self.capacity = {each.name: _capacity(each) for each in self.usable}
        self.rank = {
            each.name: xxhash.xxh64_intdigest(each.name.encode(), seed=seed)
            for each in self.usable
        }
        self._keys = sorted((key.position, key.busy_seconds) for key in state.hot_keys)
        self._positions = [position for position, _ in self._keys]
        self.slices = {each.range: each for each in _slices(state)}
        self._weights = dict.fromkeys(self.capacity, 0.0)
        self._count(self.slices.values())

    @property
    def total(self) -> float:
        """The counted load of all slices."""
        return sum(each.weight for each in self.slices.values())

    @property
    def share(self) -> float:
        """The counted load for each unit of capacity."""
        return self.total / sum(self.capacity.values())

    def weight(self, target: str) -> float:
        """Gives the counted load of a usable target.

        Args:
            target: The target's name.

        Returns:
            The load of its slices, and of those that move to it.
        """
        return self._weights[target]

    def pressure(self, target: str, added: float = 0.0) -> float:
        """Gives a target's load for each unit of its capacity.

        Args:
            target: The name of a usable target.
            added: Load to count as well.

        Returns:
            The load over the capacity.
        """
        return (self._weights[target] + added) / self.capacity[target]

    def is_usable(self, target: str) -> bool:
        """Tells whether a target may be given slices."""
        return target in self.capacity

    def least_loaded(self, added: float, names: Iterable[str]) -> str:
        """Finds the target that would have the least load.

        Args:
            added: The load to add.
            names: The targets to choose among.

        Returns:
            The target's name.
        """
        return min(
            names, key=lambda name: (self.pressure(name, added), self.rank[name])
        )

    def is_free(self, item: BoardSlice) -> bool:
        """Tells whether a slice may be changed: nothing moves it yet."""
        return not item.moving and item.range not in self.moved

    def owned(self, target: str) -> list[BoardSlice]:
        """Lists the slices of a target, in order."""
        return [
            each
            for each in sorted(self.slices.values(), key=lambda each: each.range)
            if each.owner == target
        ]

    def move(self, item: BoardSlice, to: str) -> None:
        """Plans a move.

        Args:
            item: A slice that is not moving.
            to: The target that is to own it.
        """
        move = Move(item.range, to)
        self.moves.append(move)
        self.moved.add(item.range)
        self.slices[item.range] = item.moved(move)
        if item.owner in self._weights:
            self._weights[item.owner] -= item.weight
        self._weights[to] += item.weight

    def replace(self, old: Iterable[BoardSlice], new: Iterable[BoardSlice]) -> None:
        """Puts slices in the place of others of the same owner.

        Args:
            old: The slices that go.
            new: The slices that come; they cover the same positions.
        """
        for each in old:
            del self.slices[each.range]
        for each in new:
            self.slices[each.range] = each

    def key_loads(self, item: KeyRange) -> list[tuple[int, float]]:
        """Lists the known keys in a range.

        Args:
            item: The range.

        Returns:
            Position and load of each, in order of position.
        """
        first = bisect_left(self._positions, item.start)
        last = bisect_left(self._positions, item.end)
        return self._keys[first:last]

    def _count(self, slices: Iterable[BoardSlice]) -> None:
        for each in slices:
            if each.owner in self._weights:
                self._weights[each.owner] += each.weight


def _capacity(candidate: Candidate) -> float:
    capacity = max(candidate.capacity, 1e-6)
    if candidate.state is CandidateState.WARMING:
        return capacity * WARMING_CAPACITY_SHARE
    return capacity


def _slices(state: PlacementInput) -> list[BoardSlice]:
    loads = {each.range: each.load for each in state.loads}
    total = sum(loads.get(each.range, 0.0) for each in state.slices)
    idle = total * IDLE_SHARE if total > 0.0 else 1.0
    slices = []
    for entry in state.slices:
        load = loads.get(entry.range, 0.0)
        weight = load + idle * entry.range.size / POSITION_END
        slices.append(BoardSlice.of(entry, load, weight))
    return slices
