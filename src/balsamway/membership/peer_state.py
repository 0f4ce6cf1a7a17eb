"""What is known of one entry host by its heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.membership.heartbeat import Heartbeat


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last heartbeat of an entry host."""

    heartbeat: Heartbeat
    heard_at: float
    """The runtime's clock when it came, in seconds."""
