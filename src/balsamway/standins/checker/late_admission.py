"""Find requests that a draining target still admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Run

MAX_ADMISSION_AFTER_STOP_SECONDS = 3.0
"""How long after being asked to stop a target may still admit requests.

A request admitted later than this is a violation.
"""


def find_late_admissions(journal: Journal) -> list[Violation]:
    """Find requests that a target admitted too long after it began to drain.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    stop_times = {stop.target: stop.time for stop in journal.stops}
    return [
        _violation(run, stop_times[run.target])
        for run in journal.runs
        if run.target in stop_times
        and run.outcome is not RunOutcome.REFUSED
        and run.admitted > stop_times[run.target] + MAX_ADMISSION_AFTER_STOP_SECONDS
    ]


def _violation(run: Run, stop_time: float) -> Violation:
    seconds = run.admitted - stop_time
    detail = f"{run.request_id} admitted {seconds:.3f} s after stop of {run.target}"
    return Violation(Invariant.LEAVING_IDLE, detail, run.admitted)
