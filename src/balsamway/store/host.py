"""A host as the platform's host list names it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class HostRole(StrEnum):
    """What runs on a host."""

    ENTRY = "entry"
    SERVER = "server"


class HostState(StrEnum):
    """What the host list says of a host; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One entry host, or one server of a member's service."""

    name: str
    role: HostRole
    zone: str
    address: str
    """`ip:port` of an entry host's peer listener, or of a server."""
    member: str = ""
    """The member a server belongs to; empty for an entry host."""
    service: str = ""
    """The service a server runs; empty for an entry host."""
    state: HostState = HostState.LIVE
    operators_address: str = ""
    """`ip:port` of an entry host's operator listener."""
    callers_address: str = ""
    """`ip:port` of an entry host's caller listener."""
