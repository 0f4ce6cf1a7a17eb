"""Something that happens to a server during an experiment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ServerChange(StrEnum):
    """What happens to a server."""

    WARMING = "warming"
    LIVE = "live"
    LEAVING = "leaving"
    FAILS = "fails"
    """It answers no more; the shard's leader does not know yet."""
    LOST = "lost"
    """The shard's leader knows that its grant has lapsed."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """A change of one server."""

    at: int
    """The second before which it happens."""
    server: str
    change: ServerChange
