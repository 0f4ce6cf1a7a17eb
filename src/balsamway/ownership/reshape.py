"""Splits, merges and standbys: changes of a record that move no slice."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.slices import KeyRange, SliceEntry

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance import Move, Plan, Split
    from balsamway.slices import ShardRecord


def apply_plan_without_moves(
    record: ShardRecord, plan: Plan, is_busy: Callable[[KeyRange], bool]
) -> ShardRecord:
    """Apply the splits, merges and standbys of a plan to a record.

    Args:
        record: The record.
        plan: The changes that the planner wants.
        is_busy: Returns whether a slice must keep its range, because its
            owner changes or a previous grant of it may not have expired.

    Returns:
        The record with the slices split and merged, and the standbys set.
    """
    slices = [
        part for entry in record.slices for part in _split(entry, plan.splits, is_busy)
    ]
    slices = _merge(slices, plan.merges, is_busy)
    standbys = {move.range: move for move in plan.standbys}
    slices = [_with_standby(entry, standbys.get(entry.range)) for entry in slices]
    return replace(record, slices=tuple(slices), version=record.version + 1)


def _split(
    entry: SliceEntry, splits: tuple[Split, ...], is_busy: Callable[[KeyRange], bool]
) -> list[SliceEntry]:
    if is_busy(entry.range):
        return [entry]
    cuts = {at for split in splits if split.range == entry.range for at in split.at}
    inner_cuts = sorted(at for at in cuts if entry.range.start < at < entry.range.end)
    bounds = [entry.range.start, *inner_cuts, entry.range.end]
    return [
        replace(entry, range=KeyRange(start, end))
        for start, end in itertools.pairwise(bounds)
    ]


def _merge(
    slices: list[SliceEntry],
    merges: tuple[KeyRange, ...],
    is_busy: Callable[[KeyRange], bool],
) -> list[SliceEntry]:
    for merge in merges:
        parts = [
            entry for entry in slices if merge.start <= entry.range.start < merge.end
        ]
        if not _can_merge(parts, merge) or any(is_busy(part.range) for part in parts):
            continue
        epoch = max(part.epoch for part in parts)
        first_index = slices.index(parts[0])
        merged = replace(parts[0], range=merge, epoch=epoch)
        slices[first_index : first_index + len(parts)] = [merged]
    return slices


def _can_merge(parts: list[SliceEntry], merge: KeyRange) -> bool:
    if len(parts) < 2 or len({(part.owner, part.moving_to) for part in parts}) > 1:
        return False
    return (parts[0].range.start, parts[-1].range.end) == (merge.start, merge.end)


def _with_standby(entry: SliceEntry, standby_move: Move | None) -> SliceEntry:
    if standby_move is None or standby_move.to == entry.owner:
        return entry
    return replace(entry, standby=standby_move.to)
