"""Moves slices from targets with too much load to those with too little."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._board import Board
    from balsamway.balance._board_slice import BoardSlice
    from balsamway.balance._fair_share import FairShare
    from balsamway.balance._move_budget import MoveBudget
    from balsamway.balance.placement_trade import PlacementTrade

OVERSHOOT = 1.1
"""How much more than what is wanted a moved slice may weigh."""


def rebalance(
    board: Board,
    share: FairShare,
    budget: MoveBudget,
    trade: PlacementTrade,
    is_settled: Callable[[BoardSlice], bool],
) -> None:
    """Evens out the load within a budget.

    Each move takes from the target furthest over its share and gives to the
    one furthest under it, and never shifts more than either needs.

    Args:
        board: The shard; the moves are added to it.
        share: What a target should carry.
        budget: What may be moved.
        trade: When the load is even enough, and how many moves may be made.
        is_settled: Tells whether a slice may be moved again.
    """
    total = board.total
    for _ in range(trade.moves_at_once):
        found = _next_move(board, share, trade.end_ratio, is_settled)
        if found is None or not budget.take(found[0].weight / total):
            return
        board.move(*found)


def _next_move(
    board: Board,
    share: FairShare,
    end_ratio: float,
    is_settled: Callable[[BoardSlice], bool],
) -> tuple[BoardSlice, str] | None:
    names = [each.name for each in board.usable]
    names.sort(key=lambda name: (-share.excess(board, name), board.rank[name]))
    takers = [name for name in names if name not in share.bound]
    if not takers:
        return None
    taker = takers[-1]
    if _is_even(board, share, end_ratio, names[0], taker):
        return None
    for giver in names:
        if giver == taker or share.excess(board, giver) <= 1.0:
            return None
        item = _choose(board, share, giver, taker, is_settled)
        if item is not None:
            return item, taker
    return None


def _is_even(
    board: Board, share: FairShare, end_ratio: float, giver: str, taker: str
) -> bool:
    most = share.excess(board, giver)
    least = share.excess(board, taker)
    return most <= end_ratio and least >= 1.0 / end_ratio


def _choose(
    board: Board,
    share: FairShare,
    giver: str,
    taker: str,
    is_settled: Callable[[BoardSlice], bool],
) -> BoardSlice | None:
    over = (share.excess(board, giver) - 1.0) * share.pressure * board.capacity[giver]
    under = (1.0 - share.excess(board, taker)) * share.pressure * board.capacity[taker]
    wanted = min(over, under)
    movable = [
        each
        for each in board.owned(giver)
        if board.is_free(each) and is_settled(each) and not _fills(share, each, giver)
    ]
    fitting = [each for each in movable if each.weight <= wanted * OVERSHOOT]
    if fitting:
        return max(fitting, key=lambda each: (each.weight, each.range))
    if not movable:
        return None
    smallest = min(movable, key=lambda each: (each.weight, each.range))
    before = board.pressure(giver)
    after = board.pressure(taker, smallest.weight)
    return smallest if after < before else None


def _fills(share: FairShare, item: BoardSlice, target: str) -> bool:
    """Tells whether a slice is the one key that fills its target."""
    return item.range.size == 1 and share.bound.get(target) == item.weight
