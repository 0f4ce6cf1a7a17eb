"""The connections over which the leader sends orders to one target.

An order is a grant or release sent by the leader.
"""

from __future__ import annotations

from balsamway.exchange import ConnectionPool

MAX_CONNECTIONS = 4
"""The most connections to one target. One serves grants, and the others serve
releases, which wait for running requests to end."""
MAX_RESPONSE_BYTES = 64 << 10
"""Bounds the response to an order, of which only the head says something."""


class ControlConnections:
    """A connection pool that tells when the target may have restarted."""

    def __init__(self, address: str) -> None:
        """Create the pool without opening a connection.

        Args:
            address: The target's `ip:port`.
        """
        self.pool = ConnectionPool(
            address, MAX_CONNECTIONS, max_response_bytes=MAX_RESPONSE_BYTES
        )
        self._known_lost_count = 0

    @property
    def address(self) -> str:
        """The target's `ip:port`."""
        return self.pool.address

    def has_lost_connection(self) -> bool:
        """Return whether a connection was lost since the last call.

        A target that ends takes its connections with it. If it restarts
        under the same name, it is another owner, and must not be sent the
        fencing tokens of its earlier incarnation.
        """
        self.pool.close_idle()
        lost = self.pool.lost
        has_lost = lost != self._known_lost_count
        self._known_lost_count = lost
        return has_lost

    def close(self) -> None:
        """Close all connections, including those in use."""
        self.pool.close()
        self.pool.abort()
