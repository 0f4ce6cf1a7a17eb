"""Rendezvous hashing: every host makes the same choice without a word."""

from __future__ import annotations

import xxhash


def weight(subject: str, candidate: str) -> int:
    """Weighs a candidate for a subject.

    Args:
        subject: What is to be given away, like a shard or a target.
        candidate: Who might take it, by name.

    Returns:
        The weight, 64 bits; the lowest comes first.
    """
    return xxhash.xxh64_intdigest(f"{subject}|{candidate}".encode())
