"""A host in the platform's host list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class HostRole(StrEnum):
    """The kind of process that runs on a host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(StrEnum):
    """The state of a host in the host list, which lags behind the host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One entry host, or one target of a workspace's service."""

    name: str
    role: HostRole
    zone: str
    address: str
    """The `ip:port` of an entry host's peer listener, or of a target."""
    workspace: str = ""
    """The workspace that a target belongs to; empty for an entry host."""
    service: str = ""
    """The service that a target belongs to; empty for an entry host."""
    state: HostState = HostState.LIVE
    operators_address: str = ""
    """The `ip:port` of an entry host's operator listener."""
    callers_address: str = ""
    """The `ip:port` of an entry host's caller listener."""
