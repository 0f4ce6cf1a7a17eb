"""A peer's answer to a relayed call to the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balsamway.peers.codec import message


class StoreOutcome(StrEnum):
    """The kind of result that an answer carries."""

    STORED = "stored"
    ABSENT = "absent"
    WRITTEN = "written"
    CONFLICT_STORED = "conflict-stored"
    CONFLICT_ABSENT = "conflict-absent"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@message("store-answer")
@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Carries the store's result of a call that a peer relayed."""

    outcome: StoreOutcome
    name: str
    """The name of the object."""
    version: int = 0
    body: bytes = b""
    reason: str = ""
