"""Splits, merges and standbys: changes of a record that move nothing."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.slices import KeyRange, SliceEntry

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance import Move, Plan, Split
    from balsamway.slices import ShardRecord


def reshaped(
    record: ShardRecord, plan: Plan, is_busy: Callable[[KeyRange], bool]
) -> ShardRecord:
    """Carries out all of a plan but its moves.

    Args:
        record: The record.
        plan: What placement wants changed.
        is_busy: Tells which slices keep their range, because they change
            their owner or an earlier grant of them may still run.

    Returns:
        The record with the slices split and merged, and the standbys set.
    """
    slices = [
        part for one in record.slices for part in _split(one, plan.splits, is_busy)
    ]
    slices = _merge(slices, plan.merges, is_busy)
    standbys = {one.range: one for one in plan.standbys}
    slices = [_with_standby(one, standbys.get(one.range)) for one in slices]
    return replace(record, slices=tuple(slices), version=record.version + 1)


def _split(
    entry: SliceEntry, splits: tuple[Split, ...], is_busy: Callable[[KeyRange], bool]
) -> list[SliceEntry]:
    if is_busy(entry.range):
        return [entry]
    cuts = {at for one in splits if one.range == entry.range for at in one.at}
    inside = sorted(at for at in cuts if entry.range.start < at < entry.range.end)
    bounds = [entry.range.start, *inside, entry.range.end]
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
        parts = [one for one in slices if merge.start <= one.range.start < merge.end]
        if not _may_merge(parts, merge) or any(is_busy(one.range) for one in parts):
            continue
        epoch = max(one.epoch for one in parts)
        at = slices.index(parts[0])
        merged = replace(parts[0], range=merge, epoch=epoch)
        slices[at : at + len(parts)] = [merged]
    return slices


def _may_merge(parts: list[SliceEntry], merge: KeyRange) -> bool:
    if len(parts) < 2 or len({(one.owner, one.moving_to) for one in parts}) > 1:
        return False
    return (parts[0].range.start, parts[-1].range.end) == (merge.start, merge.end)


def _with_standby(entry: SliceEntry, wanted: Move | None) -> SliceEntry:
    if wanted is None or wanted.to == entry.owner:
        return entry
    return replace(entry, standby=wanted.to)
