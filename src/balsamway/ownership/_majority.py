"""The size of a strict majority."""

from __future__ import annotations


def majority_size(size: int) -> int:
    """Return the least number of witnesses that is a strict majority.

    Args:
        size: The number of witnesses in the roster.

    Returns:
        The least number that is more than half of them.
    """
    return size // 2 + 1
