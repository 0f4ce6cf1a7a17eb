"""Finds work that a leaving server was still given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Run

LEAVING_LIMIT_SECONDS = 3.0


def late_admission(journal: Journal) -> list[Violation]:
    """Finds requests that a server admitted long after it began to leave.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    asked = {stop.server: stop.time for stop in journal.stops}
    return [
        _violation(run, asked[run.server])
        for run in journal.runs
        if run.server in asked
        and run.outcome is not RunOutcome.REFUSED
        and run.admitted > asked[run.server] + LEAVING_LIMIT_SECONDS
    ]


def _violation(run: Run, asked: float) -> Violation:
    seconds = run.admitted - asked
    detail = f"{run.request_id} admitted {seconds:.3f} s after {run.server} left"
    return Violation(Invariant.LEAVING_IDLE, detail, run.admitted)
