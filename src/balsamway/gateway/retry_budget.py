"""Bounds the retries and hedges of a service."""

from __future__ import annotations

import asyncio

TOKENS_PER_REQUEST = 0.1
TOKENS_PER_SECOND = 1.0
TOKENS_AT_MOST = 20.0


class RetryBudget:
    """A token bucket that requests fill, and retries and hedges empty.

    A small rate of tokens comes with time, so that a service with few
    requests can retry as well.
    """

    def __init__(self) -> None:
        self._tokens = TOKENS_AT_MOST / 2
        self._filled_at = asyncio.get_running_loop().time()

    @property
    def tokens(self) -> float:
        """How many retries are allowed at once."""
        return self._tokens

    def deposit(self) -> None:
        """Counts a request."""
        self._tokens = min(TOKENS_AT_MOST, self._tokens + TOKENS_PER_REQUEST)

    def withdraw(self) -> bool:
        """Takes a token for one retry or hedge.

        Returns:
            Whether there was a token.
        """
        now = asyncio.get_running_loop().time()
        earned = (now - self._filled_at) * TOKENS_PER_SECOND
        self._tokens = min(TOKENS_AT_MOST, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
