"""A limit of calls per second."""

from __future__ import annotations


class RateLimit:
    """Admits a number of calls in each second of the runtime's clock."""

    def __init__(self) -> None:
        self._second = -1
        self._admitted = 0

    def admits(self, now: float, per_second: float | None) -> bool:
        """Tells whether one more call may be carried out, and counts it.

        Args:
            now: The runtime's clock, in seconds.
            per_second: The limit; None for no limit.

        Returns:
            False where the call is beyond the limit.
        """
        if per_second is None:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._admitted = 0
        self._admitted += 1
        return self._admitted <= per_second
