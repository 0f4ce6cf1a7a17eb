"""Limit the retries and hedges of a service."""

from __future__ import annotations

import asyncio

TOKENS_PER_REQUEST = 0.1
"""The tokens that each request adds to the budget."""
TOKENS_PER_SECOND = 1.0
"""The tokens that time adds, so that a service with few requests can retry."""
MAX_TOKENS = 20.0
"""The maximum number of tokens in a budget."""


class RetryBudget:
    """A token bucket that requests fill and that retries and hedges drain.

    Time also adds tokens at a low rate, so that a service with few requests
    can retry as well.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS / 2
        self._filled_at = asyncio.get_running_loop().time()

    @property
    def tokens(self) -> float:
        """The number of retries that are allowed at once."""
        return self._tokens

    def on_request(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take a token for one retry or hedge, if there is one.

        Returns:
            Whether a token was taken.
        """
        now = asyncio.get_running_loop().time()
        earned = (now - self._filled_at) * TOKENS_PER_SECOND
        self._tokens = min(MAX_TOKENS, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
