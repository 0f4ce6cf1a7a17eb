"""A peer's copy of the host list."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.store.host import Host


@message("hosts-answer")
@dataclass(frozen=True, slots=True)
class HostsAnswer:
    """The hosts that a peer knows."""

    hosts: tuple[Host, ...]
    age_seconds: float
    """How long ago the peer read them from the platform."""
