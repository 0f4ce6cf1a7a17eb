"""What the system costs, in plain numbers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cost:
    """Hosts, connections and store calls."""

    entry_hosts: int
    server_connections: float
    """Connections open to servers."""
    connections_opened: float
    store_calls_a_second: float
    """Reads and writes, and each open watch counted as one call."""
