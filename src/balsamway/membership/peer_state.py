"""The state of an entry host, as known from its heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.membership.heartbeat import Heartbeat


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last heartbeat of an entry host and the time of its receipt."""

    heartbeat: Heartbeat
    heard_at: float
    """The event loop time, in seconds, when the heartbeat was received."""
