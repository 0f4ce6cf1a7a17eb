"""Sizes that are derived from the answers of a questionnaire."""

from __future__ import annotations

SLICES_PER_INSTANCE = 16
"""Slices that a shard starts with for each planned target."""
MIN_SLICES = 64
"""The least number of slices that a shard starts with."""
MAX_SLICES = 4096
"""The greatest number of slices that a shard starts with."""
HOSTS_PER_CONCURRENT_REPLACEMENT = 3
"""One entry host in 3 may be replaced at the same time.

A replacement connects to the targets while the host that it replaces is
still connected.
"""


def max_gateways(entry_hosts: int) -> int:
    """Return how many gateways may be connected at the same time.

    Args:
        entry_hosts: The number of entry hosts planned in all zones.

    Returns:
        The number of entry hosts plus those that are being replaced.
    """
    return entry_hosts + -(-entry_hosts // HOSTS_PER_CONCURRENT_REPLACEMENT)


def initial_slices(instances: int) -> int:
    """Return the number of slices that a shard starts with.

    Args:
        instances: The number of planned targets.

    Returns:
        The power of two that gives each target at least
        `SLICES_PER_INSTANCE` slices, within `MIN_SLICES` and `MAX_SLICES`.
    """
    slices = min(max(instances * SLICES_PER_INSTANCE, MIN_SLICES), MAX_SLICES)
    return 1 << (slices - 1).bit_length()
