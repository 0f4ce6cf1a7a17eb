"""A token bucket whose rate may change."""

from __future__ import annotations

from balsamway.clock import now


class TokenBucket:
    """Fills at a constant rate up to a burst, and starts empty."""

    def __init__(self, tokens_per_second: float, burst: float) -> None:
        """Create an empty bucket.

        Args:
            tokens_per_second: The rate at which it fills; above 0.
            burst: The most tokens that it holds.
        """
        self._tokens_per_second = tokens_per_second
        self._burst = burst
        self._tokens = 0.0
        self._filled_at = now()

    @property
    def tokens(self) -> float:
        """The number of tokens now."""
        self._fill()
        return self._tokens

    @property
    def burst(self) -> float:
        """The most tokens that the bucket holds."""
        return self._burst

    def resize(self, tokens_per_second: float, burst: float) -> None:
        """Change the rate and the burst from now on.

        Args:
            tokens_per_second: The new rate; above 0.
            burst: The new burst.
        """
        self._fill()
        self._tokens_per_second = tokens_per_second
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_take(self, reserve: float = 0.0) -> bool:
        """Take one token, if a reserve is left after it.

        Args:
            reserve: The least number of tokens that must be left.

        Returns:
            Whether a token was taken.
        """
        self._fill()
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def empty(self) -> None:
        """Remove all tokens."""
        self._fill()
        self._tokens = 0.0

    def seconds_until(self, tokens: float) -> float:
        """Return the seconds until the bucket has that many tokens."""
        self._fill()
        return max(0.0, tokens - self._tokens) / self._tokens_per_second

    def _fill(self) -> None:
        at = now()
        self._tokens = min(
            self._burst,
            self._tokens + (at - self._filled_at) * self._tokens_per_second,
        )
        self._filled_at = at
