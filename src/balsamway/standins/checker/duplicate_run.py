"""Find requests that ran more often than allowed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Run


def find_duplicate_runs(journal: Journal) -> list[Violation]:
    """Find requests that are not idempotent and ran more than once.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such request.
    """
    runs: dict[tuple[str, str], list[Run]] = defaultdict(list)
    for run in journal.runs:
        if run.outcome is RunOutcome.APPLIED:
            runs[(run.workspace, run.request_id)].append(run)
    return [
        _violation(repeated)
        for told in journal.told
        if not told.idempotent
        and len(repeated := runs.get((told.workspace, told.request_id), [])) > 1
    ]


def _violation(runs: list[Run]) -> Violation:
    targets = ", ".join(run.target for run in runs)
    detail = f"{runs[0].request_id} ran {len(runs)} times, on {targets}"
    return Violation(Invariant.RUN_AT_MOST_ONCE, detail, runs[-1].end)
