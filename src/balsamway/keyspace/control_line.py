"""The connections over which a leader orders one target."""

from __future__ import annotations

from balsamway.exchange import ConnectionPool

CONNECTIONS = 4
"""One for grants, the others for releases that wait for work to end."""


class ControlLine:
    """Knows whether the target may have started again meanwhile."""

    def __init__(self, address: str) -> None:
        """Makes a line without connections.

        Args:
            address: The target's `ip:port`.
        """
        self.pool = ConnectionPool(address, CONNECTIONS)
        self._lost_seen = 0

    @property
    def address(self) -> str:
        """The target's `ip:port`."""
        return self.pool.address

    def was_broken(self) -> bool:
        """Tells whether a connection ended out of order since last asked.

        A target that ended takes its connections with it. One that starts
        again under its name is another holder, to which the tokens of the
        one before must not go.
        """
        self.pool.close_idle()
        lost = self.pool.lost
        broken = lost != self._lost_seen
        self._lost_seen = lost
        return broken

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()
        self.pool.abort()
