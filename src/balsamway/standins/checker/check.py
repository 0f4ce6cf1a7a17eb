"""Checks a journal against all invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.assignment_kept import assignment_kept
from balsamway.standins.checker.cut_off_run import cut_off_run
from balsamway.standins.checker.duplicate_run import duplicate_run
from balsamway.standins.checker.false_refusal import false_refusal
from balsamway.standins.checker.late_admission import late_admission
from balsamway.standins.checker.lost_run import lost_run
from balsamway.standins.checker.owner_overlap import owner_overlap
from balsamway.standins.checker.run_ownership import run_ownership
from balsamway.standins.checker.version_back import version_back
from balsamway.standins.checker.wrong_answer import wrong_answer

if TYPE_CHECKING:
    from balsamway.standins.checker.violation import Violation
    from balsamway.standins.journal import Journal

CHECKS = (
    owner_overlap,
    run_ownership,
    assignment_kept,
    duplicate_run,
    lost_run,
    false_refusal,
    version_back,
    wrong_answer,
    late_admission,
    cut_off_run,
)


def check(journal: Journal) -> tuple[Violation, ...]:
    """Checks a journal.

    Args:
        journal: The merged journal of all stand-ins.

    Returns:
        Every violation found, in the order of the invariants.
    """
    return tuple(violation for find in CHECKS for violation in find(journal))
