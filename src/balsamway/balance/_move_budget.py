"""The budget for moves that only serve balance."""

from __future__ import annotations

SECONDS_A_MINUTE = 60.0


class MoveBudget:
    """A token bucket, counted in shares of the shard's load."""

    def __init__(self) -> None:
        self._share: float | None = None
        self._filled_at = 0.0

    @property
    def share(self) -> float:
        """The share of the load that may be moved now."""
        return self._share or 0.0

    def fill(self, now: float, share_a_minute: float, burst: float) -> None:
        """Adds what the time since the last call is worth.

        Args:
            now: The runtime's clock, in seconds.
            share_a_minute: The rate.
            burst: The most that the bucket holds.
        """
        elapsed = max(now - self._filled_at, 0.0)
        self._filled_at = now
        if self._share is None:
            self._share = burst
            return
        gained = share_a_minute * elapsed / SECONDS_A_MINUTE
        self._share = min(self._share + gained, burst)

    def take(self, share: float) -> bool:
        """Takes what a move costs.

        A bucket that is not empty pays for any move, so that a single key
        of more load than the bucket holds can be moved; the debt is paid off
        before the next.

        Args:
            share: The share of the shard's load that the move shifts.

        Returns:
            False where the move must wait.
        """
        if self._share is None or self._share <= 0.0:
            return False
        self._share -= share
        return True
