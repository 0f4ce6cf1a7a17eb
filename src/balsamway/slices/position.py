"""The position of a key, which is 63 bits of its hash."""

from __future__ import annotations

import xxhash

POSITION_END = 1 << 63
"""One more than the highest position."""


def position_of(key: str) -> int:
    """Return the position of a key.

    Args:
        key: The key as the caller sent it.

    Returns:
        A position from 0 up to, not including, `POSITION_END`.
    """
    return xxhash.xxh64_intdigest(key.encode()) >> 1
