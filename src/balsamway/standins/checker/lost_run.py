"""Find requests reported as completed that no target ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome, ToldVerdict

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told


def find_lost_runs(journal: Journal) -> list[Violation]:
    """Find requests reported as completed that no journal shows as applied.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    applied = {
        (run.workspace, run.request_id)
        for run in journal.runs
        if run.outcome is RunOutcome.APPLIED
    }
    return [
        _violation(told)
        for told in journal.told
        if told.verdict is ToldVerdict.COMPLETED
        and (told.workspace, told.request_id) not in applied
    ]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} was reported as completed and never ran"
    return Violation(Invariant.ANSWER_FROM_RUN, detail, told.end)
