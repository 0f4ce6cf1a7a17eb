"""Strict majorities of a roster."""

from __future__ import annotations


def majority_of(size: int) -> int:
    """Gives the least number of witnesses that is a strict majority.

    Args:
        size: How many witnesses the roster names.

    Returns:
        More than half of them.
    """
    return size // 2 + 1
