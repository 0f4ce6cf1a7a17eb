"""Find assignments that were lost after being reported as in force."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import AssignmentTold, Journal


def find_lost_assignments(journal: Journal) -> list[Violation]:
    """Find reported assignments that the store does not contain.

    A reported assignment is lost if, at the end, the store contains an older
    one for any of its positions, or another owner under the same epoch. If the
    journal also has every assignment ever recorded in the store, a reported
    one must have been recorded by the time it was reported.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each pair of a reported and a final assignment that
        disagree, and one for each reported assignment that had not been
        recorded by then.
    """
    lost = [
        _lost_violation(told, kept)
        for told in journal.assignments_told
        for kept in journal.assignments_kept
        if _is_lost(told, kept)
    ]
    if not journal.assignments_recorded:
        return lost
    return lost + _find_unrecorded(journal)


def _find_unrecorded(journal: Journal) -> list[Violation]:
    recorded: dict[tuple[str, str, int], list[AssignmentTold]] = defaultdict(list)
    for entry in journal.assignments_recorded:
        recorded[(entry.shard, entry.owner, entry.epoch)].append(entry)
    return [
        _unrecorded_violation(told)
        for told in journal.assignments_told
        if not any(
            entry.time <= told.time and entry.range.overlaps(told.range)
            for entry in recorded[(told.shard, told.owner, told.epoch)]
        )
    ]


def _unrecorded_violation(told: AssignmentTold) -> Violation:
    detail = (
        f"{told.owner} reported for {told.shard} at epoch {told.epoch}, not recorded"
    )
    return Violation(Invariant.ASSIGNMENT_KEPT, detail, told.time)


def _is_lost(told: AssignmentTold, kept: AssignmentTold) -> bool:
    if told.shard != kept.shard or not told.range.overlaps(kept.range):
        return False
    if kept.epoch == told.epoch:
        return kept.owner != told.owner
    return kept.epoch < told.epoch


def _lost_violation(told: AssignmentTold, kept: AssignmentTold) -> Violation:
    reported = f"{told.owner} reported for {told.shard} at epoch {told.epoch}"
    detail = f"{reported}, the store has {kept.owner} at epoch {kept.epoch}"
    return Violation(Invariant.ASSIGNMENT_KEPT, detail, told.time)
