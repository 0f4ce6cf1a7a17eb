"""Finds work that a leaving target was still given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Run

LEAVING_LIMIT_SECONDS = 3.0


def late_admission(journal: Journal) -> list[Violation]:
    """Finds requests that a target admitted long after it began to leave.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    asked = {stop.target: stop.time for stop in journal.stops}
    return [
        _violation(run, asked[run.target])
        for run in journal.runs
        if run.target in asked
        and run.outcome is not RunOutcome.REFUSED
        and run.admitted > asked[run.target] + LEAVING_LIMIT_SECONDS
    ]


def _violation(run: Run, asked: float) -> Violation:
    seconds = run.admitted - asked
    detail = f"{run.request_id} admitted {seconds:.3f} s after {run.target} left"
    return Violation(Invariant.LEAVING_IDLE, detail, run.admitted)
