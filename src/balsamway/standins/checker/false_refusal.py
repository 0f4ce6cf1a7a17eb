"""Finds refusals as not run of requests that ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome, ToldVerdict

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told


def false_refusal(journal: Journal) -> list[Violation]:
    """Finds requests told as not run that ran, before or after.

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
        if told.verdict is ToldVerdict.NOT_RUN
        and (told.workspace, told.request_id) in ran
    ]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} was refused as not run ({told.reason}) and ran"
    return Violation(Invariant.NOT_RUN_IS_TRUE, detail, told.end)
