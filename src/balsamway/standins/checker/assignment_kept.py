"""Finds assignments that were told to be in effect and then lost."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import AssignmentTold, Journal


def assignment_kept(journal: Journal) -> list[Violation]:
    """Compares what was told with what the store held and holds at the end.

    A told assignment is lost if the store holds an older one of any of its
    positions, or another owner under the same epoch. Where all that the store
    ever held is journalled, it must have held what was told by then.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each told and kept assignment that disagree, and one
        for each told assignment that was never recorded.
    """
    lost = [
        _violation(told, kept)
        for told in journal.assignments_told
        for kept in journal.assignments_kept
        if _lost(told, kept)
    ]
    if not journal.assignments_recorded:
        return lost
    return lost + _never_recorded(journal)


def _never_recorded(journal: Journal) -> list[Violation]:
    recorded: dict[tuple[str, str, int], list[AssignmentTold]] = defaultdict(list)
    for one in journal.assignments_recorded:
        recorded[(one.shard, one.owner, one.epoch)].append(one)
    return [
        _unrecorded(told)
        for told in journal.assignments_told
        if not any(
            one.time <= told.time and one.range.overlaps(told.range)
            for one in recorded[(told.shard, told.owner, told.epoch)]
        )
    ]


def _unrecorded(told: AssignmentTold) -> Violation:
    detail = f"{told.owner} told for {told.shard} at epoch {told.epoch}, not recorded"
    return Violation(Invariant.ASSIGNMENT_KEPT, detail, told.time)


def _lost(told: AssignmentTold, kept: AssignmentTold) -> bool:
    if told.shard != kept.shard or not told.range.overlaps(kept.range):
        return False
    if kept.epoch == told.epoch:
        return kept.owner != told.owner
    return kept.epoch < told.epoch


def _violation(told: AssignmentTold, kept: AssignmentTold) -> Violation:
    given = f"{told.owner} told for {told.shard} at epoch {told.epoch}"
    detail = f"{given}, the store has {kept.owner} at epoch {kept.epoch}"
    return Violation(Invariant.ASSIGNMENT_KEPT, detail, told.time)
