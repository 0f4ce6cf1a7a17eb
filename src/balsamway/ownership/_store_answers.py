"""Turns the store's results into answers between hosts and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.ownership.messages import StoreAnswer, StoreOutcome
from balsamway.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    from balsamway.store.store import ReadResult, WriteResult


def answer_of(name: str, result: ReadResult | WriteResult) -> StoreAnswer:
    """Makes the answer that carries a result.

    Args:
        name: The object's name.
        result: What the store told.

    Returns:
        The answer.
    """
    match result:
        case StoredObject(version=version, body=body):
            return StoreAnswer(StoreOutcome.STORED, name, version, body)
        case Absent():
            return StoreAnswer(StoreOutcome.ABSENT, name)
        case Written(version=version):
            return StoreAnswer(StoreOutcome.WRITTEN, name, version)
        case Conflict(current=StoredObject(version=version, body=body)):
            return StoreAnswer(StoreOutcome.CONFLICT_STORED, name, version, body)
        case Conflict():
            return StoreAnswer(StoreOutcome.CONFLICT_ABSENT, name)
        case Unavailable(reason=reason):
            return StoreAnswer(StoreOutcome.UNAVAILABLE, name, reason=reason)
        case WriteUnknown(reason=reason):
            return StoreAnswer(StoreOutcome.UNKNOWN, name, reason=reason)


def read_result_of(answer: StoreAnswer) -> ReadResult:
    """Reads the answer to a read.

    Args:
        answer: The peer's answer.

    Returns:
        The result; unavailable where the answer is none to a read.
    """
    match answer.outcome:
        case StoreOutcome.STORED:
            return StoredObject(answer.name, answer.version, answer.body)
        case StoreOutcome.ABSENT:
            return Absent(answer.name)
        case _:
            return Unavailable(answer.reason)


def write_result_of(answer: StoreAnswer) -> WriteResult:
    """Reads the answer to a conditional update.

    Args:
        answer: The peer's answer.

    Returns:
        The result; unknown where the answer is none to an update.
    """
    match answer.outcome:
        case StoreOutcome.WRITTEN:
            return Written(answer.version)
        case StoreOutcome.CONFLICT_STORED:
            return Conflict(StoredObject(answer.name, answer.version, answer.body))
        case StoreOutcome.CONFLICT_ABSENT:
            return Conflict(Absent(answer.name))
        case StoreOutcome.UNAVAILABLE:
            return Unavailable(answer.reason)
        case _:
            return WriteUnknown(answer.reason)
