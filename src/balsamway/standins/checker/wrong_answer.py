"""Finds answers that are not whole or not the caller's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation
from balsamway.standins.journal import AnswerCheck

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, Told

WRONG = (AnswerCheck.TRUNCATED, AnswerCheck.SWAPPED)


def wrong_answer(journal: Journal) -> list[Violation]:
    """Finds truncated and swapped answers.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such answer.
    """
    return [_violation(told) for told in journal.told if told.answer in WRONG]


def _violation(told: Told) -> Violation:
    detail = f"{told.request_id} received a {told.answer} answer"
    return Violation(Invariant.ANSWER_WHOLE, detail, told.end)
