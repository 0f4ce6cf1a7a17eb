"""Finds completed answers to requests that no target ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome, ToldVerdict

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told


def lost_run(journal: Journal) -> list[Violation]:
    """Finds requests told as completed whose run is in no journal.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    ran = {
        (run.workspace, run.request_id)
        for run in journal.runs
        if run.outcome is RunOutcome.APPLIED
    }
    return [
        _violation(told)
        for told in journal.told
        if told.verdict is ToldVerdict.COMPLETED
        and (told.workspace, told.request_id) not in ran
    ]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} was answered as completed and never ran"
    return Violation(Invariant.ANSWER_FROM_RUN, detail, told.end)
