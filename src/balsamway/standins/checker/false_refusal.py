"""Find requests that ran although they were refused as not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome, ToldVerdict

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told


def find_false_refusals(journal: Journal) -> list[Violation]:
    """Find requests that were refused as not run and ran before or after that.

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
        if told.verdict is ToldVerdict.NOT_RUN
        and (told.workspace, told.request_id) in applied
    ]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} was refused as not run ({told.reason}) and ran"
    return Violation(Invariant.NOT_RUN_IS_TRUE, detail, told.end)
