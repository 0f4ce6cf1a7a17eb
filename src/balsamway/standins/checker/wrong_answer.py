"""Find responses that are incomplete or belong to another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import AnswerCheck

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told

WRONG_CHECKS = (AnswerCheck.TRUNCATED, AnswerCheck.SWAPPED)


def find_wrong_responses(journal: Journal) -> list[Violation]:
    """Find truncated and swapped responses.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such response.
    """
    return [_violation(told) for told in journal.told if told.answer in WRONG_CHECKS]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} received a {told.answer} response"
    return Violation(Invariant.ANSWER_WHOLE, detail, told.end)
