"""Cuts slices that are too heavy to place well."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from balsamway.balance._board_slice import BoardSlice
from balsamway.balance.split import Split
from balsamway.slices import KeyRange

if TYPE_CHECKING:
    from balsamway.balance._board import Board
    from balsamway.balance._fair_share import FairShare

GRAIN_SHARE = 0.1
"""Slices heavier than this share of a target's even load are cut."""

KEY_SHARE = 0.05
"""Keys heavier than this share of a target's even load get a slice."""

PARTS_AT_MOST = 8
"""How many parts a slice without hot keys is cut into at once."""


def split_heavy(board: Board, share: FairShare, room: int) -> tuple[Split, ...]:
    """Cuts heavy slices: around heavy keys first, else into even parts.

    Args:
        board: The shard; it is changed as the splits leave it.
        share: What a target should carry.
        room: How many more slices the shard may have.

    Returns:
        The splits.
    """
    grain = share.pressure * GRAIN_SHARE
    heavy = [
        each
        for each in board.slices.values()
        if each.weight > grain and each.range.size > 1 and board.is_free(each)
    ]
    heavy.sort(key=lambda each: (-each.weight, each.range))
    splits = []
    for each in heavy:
        cuts = _cuts(board, each, share.pressure)
        if not cuts or len(cuts) > room:
            continue
        room -= len(cuts)
        splits.append(Split(each.range, cuts))
        board.replace([each], _parts(board, each, cuts))
    return tuple(splits)


def _cuts(board: Board, item: BoardSlice, pressure: float) -> tuple[int, ...]:
    keys = [
        position
        for position, load in board.key_loads(item.range)
        if load > pressure * KEY_SHARE
    ]
    cuts = {cut for at in keys for cut in (at, at + 1)}
    inside = tuple(
        sorted(cut for cut in cuts if item.range.start < cut < item.range.end)
    )
    if inside:
        return inside
    wanted = int(item.weight / (pressure * GRAIN_SHARE)) + 1
    parts = min(wanted, PARTS_AT_MOST, item.range.size)
    step = item.range.size // parts
    return tuple(item.range.start + step * part for part in range(1, parts))


def _parts(board: Board, item: BoardSlice, cuts: tuple[int, ...]) -> list[BoardSlice]:
    bounds = (item.range.start, *cuts, item.range.end)
    keys = board.key_loads(item.range)
    spread = max(item.load - sum(load for _, load in keys), 0.0)
    idle = item.weight - item.load
    parts = []
    for start, end in itertools.pairwise(bounds):
        part = KeyRange(start, end)
        fraction = part.size / item.range.size
        own = sum(load for at, load in keys if at in part)
        load = spread * fraction + own
        weight = load + idle * fraction
        parts.append(
            BoardSlice(part, item.owner, item.standby, item.moving, weight, load)
        )
    return parts
