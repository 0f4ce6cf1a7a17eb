"""What entry hosts tell each other at short intervals."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.peers.codec import message
from balsamway.store.host import Host


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that a daemon runs, where, and what it leads."""

    host: Host
    incarnation: int
    leads: tuple[LeadershipClaim, ...]
    leaving_targets: tuple[str, ...]
    """Targets that said themselves that they are leaving."""
    stopping: bool = False
