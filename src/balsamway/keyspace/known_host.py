"""An entry host, as the leader knows it from the host's reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KnownHost:
    """What the last load notice of an entry host said about the host."""

    address: str
    """The address on which the host listens for its peers."""
    zone: str
    reported_at: float
    """When the notice arrived, in event loop time."""
    relay: str
    """The host that passes the leader's messages on to this host. Empty if
    they come from the leader itself, or if none came lately."""
    is_draining: bool
    """Whether the host is about to stop."""
