"""Check a journal against all invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.assignment_kept import find_lost_assignments
from balsamway.standins.checker.cut_off_run import find_cut_off_runs
from balsamway.standins.checker.duplicate_run import find_duplicate_runs
from balsamway.standins.checker.false_refusal import find_false_refusals
from balsamway.standins.checker.late_admission import find_late_admissions
from balsamway.standins.checker.lost_run import find_lost_runs
from balsamway.standins.checker.owner_overlap import find_owner_overlaps
from balsamway.standins.checker.run_ownership import find_runs_under_other_owner
from balsamway.standins.checker.version_back import find_version_decreases
from balsamway.standins.checker.wrong_answer import find_wrong_responses

if TYPE_CHECKING:
    from balsamway.standins.checker.violation import Violation
    from balsamway.standins.journal import Journal

CHECKS = (
    find_owner_overlaps,
    find_runs_under_other_owner,
    find_lost_assignments,
    find_duplicate_runs,
    find_lost_runs,
    find_false_refusals,
    find_version_decreases,
    find_wrong_responses,
    find_late_admissions,
    find_cut_off_runs,
)


def check(journal: Journal) -> tuple[Violation, ...]:
    """Check a journal against all invariants.

    Args:
        journal: The merged journal of all stand-ins.

    Returns:
        Every violation found, in the order of `CHECKS`.
    """
    return tuple(violation for find in CHECKS for violation in find(journal))
