"""Find runs on a target while another target owned their key."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import GrantHeld, Journal, Run


def find_runs_under_other_owner(journal: Journal) -> list[Violation]:
    """Find applied runs that overlap with another target's grant of their key.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such pair of a run and a grant.
    """
    grants: dict[str, list[GrantHeld]] = defaultdict(list)
    for grant in journal.grants:
        grants[grant.shard].append(grant)
    return [
        _violation(run, grant)
        for run in journal.runs
        if run.shard and run.outcome is RunOutcome.APPLIED
        for grant in grants[run.shard]
        if _conflicts(run, grant)
    ]


def _conflicts(run: Run, grant: GrantHeld) -> bool:
    if run.target == grant.target or run.position not in grant.range:
        return False
    return grant.start < run.end and run.start < grant.end


def _violation(run: Run, grant: GrantHeld) -> Violation:
    detail = f"{run.request_id} ran on {run.target} while {grant.target} owned its key"
    return Violation(Invariant.RUN_UNDER_OWNERSHIP, detail, run.end)
