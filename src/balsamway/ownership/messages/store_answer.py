"""What the store told a peer that passed a call on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balsamway.peers.codec import message


class StoreOutcome(StrEnum):
    """Which result of the store an answer carries."""

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
    """What the store told a peer that passed a call on."""

    outcome: StoreOutcome
    name: str
    version: int = 0
    body: bytes = b""
    reason: str = ""
