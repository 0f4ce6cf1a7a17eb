"""The load of one key, as a gateway's sketch counts it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("key-load")
@dataclass(frozen=True, slots=True)
class KeyLoad:
    """The load of one key, as a gateway's sketch counts it."""

    position: int
    requests: float
    busy_seconds: float
    """The targets' time that its requests took."""
