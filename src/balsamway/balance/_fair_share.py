"""What each target should carry, where single keys cannot be divided."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.balance._board import Board


@dataclass(frozen=True, slots=True)
class FairShare:
    """The even load, and the targets that one key alone fills."""

    pressure: float
    """The load for each unit of capacity of the targets not so filled."""
    bound: dict[str, float]
    """The load of the one key, by the target that has it."""

    @classmethod
    def of(cls, board: Board) -> FairShare:
        """Works out the even load.

        A key with more load than an even share fills its target. Such
        targets and keys are left out of the even share of the rest.

        Args:
            board: The shard.

        Returns:
            The fair share.
        """
        load = board.total
        capacity = sum(board.capacity.values())
        bound: dict[str, float] = {}
        for weight, owner in _keys_by_load(board):
            if owner in bound or owner not in board.capacity:
                continue
            own = board.capacity[owner]
            if capacity - own <= 0.0 or weight / own <= load / capacity:
                break
            bound[owner] = weight
            load -= weight
            capacity -= own
        return cls(load / capacity, bound)

    def excess(self, board: Board, target: str) -> float:
        """Compares a target's load with its share.

        Args:
            board: The shard.
            target: The name of a usable target.

        Returns:
            The load over the share; 1 is even. A target that one key fills
            is even when it has nothing else.
        """
        if self.pressure <= 0.0:
            return 1.0
        own = self.bound.get(target)
        if own is None:
            return board.pressure(target) / self.pressure
        rest = (board.weight(target) - own) / board.capacity[target]
        return 1.0 + rest / self.pressure


def _keys_by_load(board: Board) -> list[tuple[float, str]]:
    found = []
    for item in board.slices.values():
        if item.range.size == 1:
            found.append((item.weight, item.owner))
            continue
        for _, load in board.key_loads(item.range):
            found.append((load, item.owner))
    return sorted(found, key=lambda each: (-each[0], each[1]))
