"""Joins cold neighbours again, so that the number of slices stays bounded."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from balsamway.balance._board_slice import BoardSlice
from balsamway.slices import KeyRange

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance._board import Board
    from balsamway.balance._fair_share import FairShare

COLD_SHARE = 0.08
"""A merged slice has at most this share of a target's even load."""

MERGES_AT_ONCE = 16


def merge_cold(
    board: Board,
    share: FairShare,
    wanted: int,
    is_settled: Callable[[KeyRange], bool],
) -> tuple[KeyRange, ...]:
    """Merges adjacent slices of one owner that have little load.

    Args:
        board: The shard; it is changed as the merges leave it.
        share: What a target should carry.
        wanted: The number of slices down to which there is nothing to merge.
        is_settled: Tells whether a slice is old enough to be merged.

    Returns:
        The union of each pair that is merged.
    """
    surplus = len(board.slices) - wanted
    if surplus <= 0:
        return ()
    pairs = _cold_pairs(board, share, is_settled)
    merges: list[KeyRange] = []
    used: set[KeyRange] = set()
    for first, second in pairs:
        if len(merges) >= min(surplus, MERGES_AT_ONCE):
            break
        if first.range in used or second.range in used:
            continue
        used.update((first.range, second.range))
        merged = _merged(first, second)
        merges.append(merged.range)
        board.replace([first, second], [merged])
    return tuple(merges)


def _cold_pairs(
    board: Board, share: FairShare, is_settled: Callable[[KeyRange], bool]
) -> list[tuple[BoardSlice, BoardSlice]]:
    order = sorted(board.slices.values(), key=lambda each: each.range)
    pairs = [
        (first, second)
        for first, second in itertools.pairwise(order)
        if _may_merge(first, second, share.pressure * COLD_SHARE)
        and is_settled(first.range)
        and is_settled(second.range)
    ]
    pairs.sort(key=lambda pair: (pair[0].weight + pair[1].weight, pair[0].range))
    return pairs


def _may_merge(first: BoardSlice, second: BoardSlice, limit: float) -> bool:
    if first.moving or second.moving or not first.owner:
        return False
    if first.owner != second.owner:
        return False
    return first.weight + second.weight <= limit


def _merged(first: BoardSlice, second: BoardSlice) -> BoardSlice:
    return BoardSlice(
        KeyRange(first.range.start, second.range.end),
        first.owner,
        first.standby,
        False,
        first.weight + second.weight,
        first.load + second.load,
    )
