"""Until when a target may hold what it was granted."""

from __future__ import annotations

import itertools

from balsamway.clock import now

CLOCK_RATE = 1.02
"""A target's clock may run this much slower than ours."""
MARGIN_SECONDS = 0.3
"""For bytes on their way when a connection was reset, and for rounding."""


def lapse_seconds(hold_seconds: float) -> float:
    """Gives how long a grant may last by this host's clock.

    Args:
        hold_seconds: The time that the target was given.
    """
    return hold_seconds * CLOCK_RATE + MARGIN_SECONDS


class HoldBound:
    """The latest moment at which any grant to a target may still hold."""

    def __init__(self, until: float) -> None:
        """Starts from what earlier leaders may have granted.

        Args:
            until: When the last of it has run out.
        """
        self._settled = until
        self._open: dict[int, float] = {}
        self._numbers = itertools.count()

    @property
    def until(self) -> float:
        """When every grant that was sent has run out."""
        return max([self._settled, *self._open.values()])

    def begin(self, hold_seconds: float, timeout_seconds: float) -> int:
        """Notes a grant that is about to be sent.

        Args:
            hold_seconds: The time that the target is given.
            timeout_seconds: When the call is given up, at the latest, and
                its connection reset.

        Returns:
            The number to settle it by.
        """
        number = next(self._numbers)
        self._open[number] = now() + timeout_seconds + lapse_seconds(hold_seconds)
        return number

    def settle(self, number: int, hold_seconds: float) -> None:
        """Notes that a grant was answered, or its connection reset.

        Args:
            number: What `begin` gave.
            hold_seconds: The time that the target was given.
        """
        del self._open[number]
        self._settled = max(self._settled, now() + lapse_seconds(hold_seconds))

    def forget(self, number: int) -> None:
        """Notes that a grant was not sent.

        Args:
            number: What `begin` gave.
        """
        del self._open[number]
