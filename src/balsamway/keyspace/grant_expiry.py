"""When the last grant that a target may have accepted expires."""

from __future__ import annotations

import itertools

from balsamway.clock import now

MAX_CLOCK_RATE_RATIO = 1.02
"""The most that a target's clock may run slower than this host's clock. A
slower clock makes a grant last longer."""
EXPIRY_MARGIN_SECONDS = 0.3
"""Added to the lifetime of each grant. It covers bytes that were still in
transit when a connection was reset, and rounding."""


def max_grant_lifetime_seconds(grant_seconds: float) -> float:
    """Return the longest time that a grant may last by this host's clock.

    Args:
        grant_seconds: The grant duration that the target was given.

    Returns:
        The time in seconds from the arrival of the grant at the target.
    """
    return grant_seconds * MAX_CLOCK_RATE_RATIO + EXPIRY_MARGIN_SECONDS


class GrantExpiry:
    """Tracks the latest time at which any grant to one target may be valid."""

    def __init__(self, expires_at: float) -> None:
        """Start from the grants that earlier leaders may have sent.

        Args:
            expires_at: When the last of those grants expires, in event loop
                time.
        """
        self._settled_expires_at = expires_at
        self._pending: dict[int, float] = {}
        self._order_ids = itertools.count()

    @property
    def expires_at(self) -> float:
        """When every grant sent so far has expired, in event loop time."""
        return max([self._settled_expires_at, *self._pending.values()])

    def add_pending(self, grant_seconds: float, timeout_seconds: float) -> int:
        """Record a grant that is about to be sent.

        Args:
            grant_seconds: The grant duration sent to the target.
            timeout_seconds: The longest time until the call ends and its
                connection is reset.

        Returns:
            The order's id, for `settle_pending` or `discard_pending`.
        """
        order_id = next(self._order_ids)
        self._pending[order_id] = (
            now() + timeout_seconds + max_grant_lifetime_seconds(grant_seconds)
        )
        return order_id

    def settle_pending(self, order_id: int, grant_seconds: float) -> None:
        """Record that a grant was answered or its connection was reset.

        Args:
            order_id: The id that `add_pending` returned.
            grant_seconds: The grant duration sent to the target.
        """
        del self._pending[order_id]
        self._settled_expires_at = max(
            self._settled_expires_at, now() + max_grant_lifetime_seconds(grant_seconds)
        )

    def discard_pending(self, order_id: int) -> None:
        """Record that a grant was not sent, or was refused.

        Args:
            order_id: The id that `add_pending` returned.
        """
        del self._pending[order_id]
