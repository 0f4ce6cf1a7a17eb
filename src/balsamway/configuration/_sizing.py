"""Sizes that follow from a workspace's answers."""

from __future__ import annotations

SLICES_PER_INSTANCE = 16
FEWEST_SLICES = 64
MOST_SLICES = 4096
HOSTS_PER_REPLACEMENT = 3
"""One entry host in so many may be replaced at the same time."""


def gateways_at_most(entry_hosts: int) -> int:
    """Counts the gateways that may be connected at once.

    Args:
        entry_hosts: The entry hosts planned, over all availability zones.

    Returns:
        The entry hosts and those that are being replaced.
    """
    return entry_hosts + -(-entry_hosts // HOSTS_PER_REPLACEMENT)


def starting_slices(instances: int) -> int:
    """Chooses the number of slices that a shard starts with.

    Args:
        instances: The targets planned.

    Returns:
        The power of two that gives each target enough slices to spread.
    """
    wanted = min(max(instances * SLICES_PER_INSTANCE, FEWEST_SLICES), MOST_SLICES)
    return 1 << (wanted - 1).bit_length()
