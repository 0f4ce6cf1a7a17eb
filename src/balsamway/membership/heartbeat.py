"""The message that entry hosts send to each other at short intervals."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.peers.codec import message
from balsamway.store.host import Host


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The address of a running daemon and the shards that it leads."""

    host: Host
    incarnation: int
    """A number that identifies this run of the daemon."""
    leads: tuple[LeadershipClaim, ...]
    """The shards that the daemon leads."""
    leaving_targets: tuple[str, ...]
    """The names of targets that reported themselves to this daemon as
    draining."""
    stopping: bool = False
    """Whether the daemon is about to stop."""
