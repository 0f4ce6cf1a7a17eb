"""How many connections of callers a host keeps open."""

from __future__ import annotations

FILE_DESCRIPTORS = 200
"""Reserved for files."""
CONTROL_DESCRIPTORS = 64
"""Reserved for health, operators, metrics, the store and a few peers."""
CALLER_FRACTION = 0.5
"""The fraction of the other descriptors for callers. A request takes at most
one connection to a target, and the rest is left for peers."""
MIN_CONNECTIONS = 16
"""A host with fewer descriptors serves this many callers anyway."""


def caller_connection_limit(max_descriptors: int) -> int:
    """Return how many connections of callers may be open.

    Args:
        max_descriptors: The descriptors that the process may have open.
    """
    left = max_descriptors - FILE_DESCRIPTORS - CONTROL_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(CALLER_FRACTION * left))
