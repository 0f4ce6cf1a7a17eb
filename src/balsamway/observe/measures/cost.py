"""Measures what the system costs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cost:
    """Hosts, connections and store calls since the daemons started."""

    entry_hosts: int
    in_flight: float
    """Attempts to targets that are in flight now."""
    connections_opened: float
    """Connections opened to targets since the daemons started."""
    platform_calls: float
    """Calls to the platform, including each long poll of a watch."""
