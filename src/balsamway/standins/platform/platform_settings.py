"""The settings of the platform stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.standins.platform.platform_faults import PlatformFaults
from balsamway.store import Host


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings that the platform stand-in is started with."""

    listen: str = "127.0.0.1:0"
    hosts: tuple[Host, ...] = ()
    zones_by_address: dict[str, str] = field(default_factory=dict)
    """The availability zone by IP address, for calls that name none."""
    faults: PlatformFaults = field(default_factory=PlatformFaults)
