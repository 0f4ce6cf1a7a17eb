"""The query for a peer's copy of the host list."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("hosts-query")
@dataclass(frozen=True, slots=True)
class HostsQuery:
    """Request a peer's copy of the host list.

    It is sent while the platform is unavailable to this host.
    """
