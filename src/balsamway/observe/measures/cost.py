"""What the system costs, in plain numbers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cost:
    """Hosts, connections and store calls since the daemons started."""

    entry_hosts: int
    in_flight: float
    """Attempts in flight to targets at the moment."""
    connections_opened: float
    platform_calls: float
    """Calls to the platform, each watch that was waited for included."""
