"""Finds runs on a target while another target held their key."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import RunOutcome

if TYPE_CHECKING:
    from balsamway.standins.journal import GrantHeld, Journal, Run


def run_ownership(journal: Journal) -> list[Violation]:
    """Finds applied runs that fell into another target's grant.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each run and grant.
    """
    grants: dict[str, list[GrantHeld]] = defaultdict(list)
    for held in journal.grants:
        grants[held.shard].append(held)
    return [
        _violation(run, held)
        for run in journal.runs
        if run.shard and run.outcome is RunOutcome.APPLIED
        for held in grants[run.shard]
        if _clash(run, held)
    ]


def _clash(run: Run, held: GrantHeld) -> bool:
    if run.target == held.target or run.position not in held.range:
        return False
    return held.start < run.end and run.start < held.end


def _violation(run: Run, held: GrantHeld) -> Violation:
    detail = f"{run.request_id} ran on {run.target} while {held.target} held its key"
    return Violation(Invariant.RUN_UNDER_OWNERSHIP, detail, run.end)
