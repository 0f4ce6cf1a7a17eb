"""Asks a peer for its copy of the host list."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("hosts-query")
@dataclass(frozen=True, slots=True)
class HostsQuery:
    """Asks for the hosts that a peer knows, while the platform is away."""
