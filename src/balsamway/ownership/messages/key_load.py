"""The load of one key, as counted by a gateway's sketch."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("key-load")
@dataclass(frozen=True, slots=True)
class KeyLoad:
    """The load of one key, as counted by a gateway's sketch."""

    position: int
    """The hash position of the key."""
    requests: float
    busy_seconds: float
    """The time that targets spent on the requests for the key."""
