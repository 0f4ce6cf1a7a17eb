"""The budget of the moves that only balance the load."""

from __future__ import annotations

SECONDS_PER_MINUTE = 60.0


class MoveBudget:
    """A token bucket, counted in fractions of the shard's load."""

    def __init__(self) -> None:
        self._fraction: float | None = None
        self._filled_at = 0.0

    @property
    def fraction(self) -> float:
        """The fraction of the load that may be moved now."""
        return self._fraction or 0.0

    def refill(self, now: float, fraction_per_minute: float, burst: float) -> None:
        """Add what has accrued since the last call.

        Args:
            now: The event loop time, in seconds.
            fraction_per_minute: The fraction of the load that accrues in a
                minute.
            burst: The most that the bucket holds, as a fraction of the load.
        """
        elapsed = max(now - self._filled_at, 0.0)
        self._filled_at = now
        if self._fraction is None:
            self._fraction = burst
            return
        gained = fraction_per_minute * elapsed / SECONDS_PER_MINUTE
        self._fraction = min(self._fraction + gained, burst)

    def spend(self, fraction: float) -> bool:
        """Pay for a move if the bucket is not empty.

        A bucket that is not empty pays for any move, so that a single key
        with more load than the bucket holds can be moved. The resulting debt
        must be paid off before the next move.

        Args:
            fraction: The moved fraction of the shard's load.

        Returns:
            Whether the move may be made now.
        """
        if self._fraction is None or self._fraction <= 0.0:
            return False
        self._fraction -= fraction
        return True
