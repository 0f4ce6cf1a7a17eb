"""Chooses the target that takes over each slice if its owner is lost."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.balance.candidate import CandidateState
from balsamway.balance.move import Move

if TYPE_CHECKING:
    from balsamway.balance._board import Board
    from balsamway.balance._board_slice import BoardSlice


def choose_standbys(board: Board) -> tuple[Move, ...]:
    """Names standbys for the slices whose standby is missing or unfit.

    A standby stands in another availability zone than the owner wherever
    there is one. The standbys of one owner are spread, so that the load of
    a lost target falls on many.

    Args:
        board: The shard as the plan leaves it.

    Returns:
        The standby of each slice whose standby changes.
    """
    live = [each for each in board.usable if each.state is CandidateState.LIVE]
    zones = {each.name: each.zone for each in live}
    if len(live) < 2:
        return ()
    inherited: dict[tuple[str, str], float] = defaultdict(float)
    unfit = []
    for item in sorted(board.slices.values(), key=lambda each: each.range):
        if _is_fit(item, zones):
            inherited[item.owner, item.standby] += item.weight
        elif not item.moving:
            unfit.append(item)
    unfit.sort(key=lambda each: (-each.weight, each.range))
    return tuple(_choose(board, item, zones, inherited) for item in unfit)


def _is_fit(item: BoardSlice, zones: dict[str, str]) -> bool:
    if item.standby not in zones or item.standby == item.owner:
        return False
    elsewhere = any(zone != zones.get(item.owner) for zone in zones.values())
    return not elsewhere or zones[item.standby] != zones.get(item.owner)


def _choose(
    board: Board,
    item: BoardSlice,
    zones: dict[str, str],
    inherited: dict[tuple[str, str], float],
) -> Move:
    own = zones.get(item.owner)
    others = [name for name in zones if name != item.owner]
    elsewhere = [name for name in others if zones[name] != own]

    def after_loss(name: str) -> tuple[float, int]:
        taken_over = inherited[item.owner, name] + item.weight
        return board.pressure(name, taken_over), board.rank[name]

    chosen = min(elsewhere or others, key=after_loss)
    inherited[item.owner, chosen] += item.weight
    return Move(item.range, chosen)
