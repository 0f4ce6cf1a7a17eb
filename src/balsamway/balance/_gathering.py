"""Brings light slices back to a neighbour's owner, so that they can merge."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._board import Board
    from balsamway.balance._board_slice import BoardSlice
    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._move_budget import MoveBudget

LIGHT_SHARE = 0.025
"""A slice below this share of a target's even load may be gathered."""

GATHERED_AT_ONCE = 8


def gather_light(
    board: Board,
    share: FairShare,
    budget: MoveBudget,
    wanted: int,
    is_settled: Callable[[BoardSlice], bool],
) -> None:
    """Moves the lightest slices to the owner of a neighbour.

    Args:
        board: The shard; the moves are added to it.
        share: What a target should carry.
        budget: What may be moved.
        wanted: The number of slices down to which none is gathered.
        is_settled: Tells whether a slice may be moved.
    """
    surplus = min(len(board.slices) - wanted, GATHERED_AT_ONCE)
    if surplus <= 0:
        return
    total = board.total
    order = sorted(board.slices)
    places = {item: index for index, item in enumerate(order)}
    for item in _light(board, share, is_settled):
        index = places[item.range]
        near = [board.slices[each] for each in order[max(index - 1, 0) : index + 2]]
        owner = _gathering_owner(board, item, near)
        if owner is None:
            continue
        if not budget.take(item.weight / total):
            return
        board.move(item, owner)
        surplus -= 1
        if surplus == 0:
            return


def _light(
    board: Board, share: FairShare, is_settled: Callable[[BoardSlice], bool]
) -> list[BoardSlice]:
    limit = share.pressure * LIGHT_SHARE
    found = [
        each
        for each in board.slices.values()
        if each.weight <= limit and board.is_free(each) and is_settled(each)
    ]
    return sorted(found, key=lambda each: (each.weight, each.range))


def _gathering_owner(
    board: Board, item: BoardSlice, near: list[BoardSlice]
) -> str | None:
    if any(each.owner == item.owner for each in near if each is not item):
        return None
    owners = [
        each.owner
        for each in near
        if each is not item and board.is_free(each) and board.is_usable(each.owner)
    ]
    if not owners:
        return None
    return board.least_loaded(item.weight, owners)
