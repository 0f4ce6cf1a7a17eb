"""Gives owners to slices that have none that may keep them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance.candidate import CandidateState

if TYPE_CHECKING:
    from balsamway.balance._board import Board
    from balsamway.balance._board_slice import BoardSlice


def evacuate(board: Board) -> None:
    """Moves every slice off targets that are leaving, lost or not known.

    Slices without an owner are placed in the same way. The heaviest go
    first, each to the target that then has the least load for its capacity.

    Args:
        board: The shard; the moves are added to it.
    """
    stranded = [
        each
        for each in board.slices.values()
        if not each.moving and not board.is_usable(each.owner)
    ]
    stranded.sort(key=lambda each: (-each.weight, each.range))
    for each in stranded:
        board.move(each, _target(board, each))


def _target(board: Board, item: BoardSlice) -> str:
    if _is_lost(board, item.owner) and _is_live(board, item.standby):
        return item.standby
    live = [each.name for each in board.usable if _is_live(board, each.name)]
    names = live or [each.name for each in board.usable]
    return board.least_loaded(item.weight, names)


def _is_lost(board: Board, target: str) -> bool:
    found = board.candidates.get(target)
    return found is not None and found.state is CandidateState.LOST


def _is_live(board: Board, target: str) -> bool:
    found = board.candidates.get(target)
    return found is not None and found.state is CandidateState.LIVE
