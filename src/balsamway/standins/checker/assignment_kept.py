"""Finds assignments that were told to be in effect and then lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import AssignmentTold, Journal


def assignment_kept(journal: Journal) -> list[Violation]:
    """Compares what was told with what the store holds at the end.

    A told assignment is lost if the store holds an older one of any of its
    positions, or another owner under the same epoch.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each told and kept assignment that disagree.
    """
    return [
        _violation(told, kept)
        for told in journal.assignments_told
        for kept in journal.assignments_kept
        if _lost(told, kept)
    ]


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
