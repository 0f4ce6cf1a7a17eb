"""Find runs that a planned stop of a target cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Run


def find_cut_off_runs(journal: Journal) -> list[Violation]:
    """Find runs that were cut off on a target that had been asked to stop.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such run.
    """
    stop_times = {stop.target: stop.time for stop in journal.stops}
    return [
        _violation(run)
        for run in journal.runs
        if run.outcome is RunOutcome.CUT_OFF
        and run.end >= stop_times.get(run.target, float("inf"))
    ]


def _violation(run: Run) -> Violation:
    detail = f"{run.request_id} was cut off by the planned stop of {run.target}"
    return Violation(Invariant.STOP_GRACEFUL, detail, run.end)
