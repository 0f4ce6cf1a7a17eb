"""The answer to a query for a peer's copy of the host list."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.store.host import Host


@message("hosts-answer")
@dataclass(frozen=True, slots=True)
class HostsAnswer:
    """A peer's copy of the host list."""

    hosts: tuple[Host, ...]
    age_seconds: float
    """Seconds since the copy was read from the platform."""
