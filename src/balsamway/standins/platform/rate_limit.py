"""A limit of calls per second."""

from __future__ import annotations


class RateLimit:
    """Admits a limited number of calls in each second of event loop time."""

    def __init__(self) -> None:
        self._second = -1
        self._admitted = 0

    def admit(self, now: float, per_second: float | None) -> bool:
        """Count a call and return whether it is within the limit.

        Args:
            now: The current event loop time, in seconds.
            per_second: The maximum calls per second; None for no limit.

        Returns:
            Whether the call may be carried out.
        """
        if per_second is None:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._admitted = 0
        self._admitted += 1
        return self._admitted <= per_second
