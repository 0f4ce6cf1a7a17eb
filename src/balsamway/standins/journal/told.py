"""What a caller was told of its request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balsamway.standins.journal.answer_check import AnswerCheck


class ToldVerdict(StrEnum):
    """The verdict that came with the answer."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    UNREACHED = "unreached"
    """No connection to an entry host was made."""
    NO_ANSWER = "no-answer"
    """The entry host was reached and gave no answer."""


@dataclass(frozen=True, slots=True)
class Told:
    """One request as its caller saw it."""

    workspace: str
    service: str
    kind: str
    request_id: str
    key: str
    idempotent: bool
    verdict: ToldVerdict
    reason: str
    status: int
    answer: AnswerCheck
    start: float
    end: float
