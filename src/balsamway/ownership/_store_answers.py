"""Conversion between results of the store and answers to peers."""

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


def answer_from_result(name: str, result: ReadResult | WriteResult) -> StoreAnswer:
    """Return the answer that carries a result of the store to a peer.

    Args:
        name: The object's name.
        result: The result of the read or the write.

    Returns:
        The answer to send.
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


def read_result_from(answer: StoreAnswer) -> ReadResult:
    """Return the result that the answer to a read carries.

    Args:
        answer: The peer's answer.

    Returns:
        The result of the read; `Unavailable` if the answer carries the
        result of a write.
    """
    match answer.outcome:
        case StoreOutcome.STORED:
            return StoredObject(answer.name, answer.version, answer.body)
        case StoreOutcome.ABSENT:
            return Absent(answer.name)
        case _:
            return Unavailable(answer.reason)


def write_result_from(answer: StoreAnswer) -> WriteResult:
    """Return the result that the answer to a conditional write carries.

    Args:
        answer: The peer's answer.

    Returns:
        The result of the write; `WriteUnknown` if the answer carries the
        result of a read.
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
