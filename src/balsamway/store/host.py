"""A host as the platform's host list names it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class HostRole(StrEnum):
    """What runs on a host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(StrEnum):
    """What the host list says of a host; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One entry host, or one target of a workspace's service."""

    name: str
    role: HostRole
    zone: str
    address: str
    """`ip:port` of an entry host's peer listener, or of a target."""
    workspace: str = ""
    """The workspace a target belongs to; empty for an entry host."""
    service: str = ""
    """The service a target runs; empty for an entry host."""
    state: HostState = HostState.LIVE
    operators_address: str = ""
    """`ip:port` of an entry host's operator listener."""
    callers_address: str = ""
    """`ip:port` of an entry host's caller listener."""
