"""The result of a request as its caller received it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balsamway.standins.journal.answer_check import AnswerCheck


class ToldVerdict(StrEnum):
    """The verdict that a caller received, or why it received none."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    UNREACHED = "unreached"
    """No connection to an entry host could be made."""
    NO_ANSWER = "no-answer"
    """The entry host was reached but sent no response with a verdict."""


@dataclass(frozen=True, slots=True)
class Told:
    """One request as its caller saw it.

    Times are in event loop time, in seconds.
    """

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
