"""Rendezvous hashing: hosts make the same choice without communication."""

from __future__ import annotations

import xxhash


def weight(item: str, candidate: str) -> int:
    """Return the weight of a candidate for an item.

    Args:
        item: The name of what is to be assigned, such as a shard or a target.
        candidate: The name of a host that it may be assigned to.

    Returns:
        The weight, an unsigned 64-bit number. The candidate with the lowest
        weight is preferred.
    """
    return xxhash.xxh64_intdigest(f"{item}|{candidate}".encode())
