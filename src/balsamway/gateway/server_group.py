"""The interface to the servers that one queue of requests waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.server_state import ServerState


class ServerGroup(Protocol):
    """The servers that one queue of requests waits for."""

    @property
    def expected_latency(self) -> float:
        """How long an answer takes, in seconds; 0 where none came yet."""
        ...

    @property
    def rate(self) -> float:
        """How many answers a second the servers give; 0 for unknown."""
        ...

    @property
    def is_empty(self) -> bool:
        """Whether there is no server to wait for."""
        ...

    def pick(self, attempt: Attempt) -> ServerState | None:
        """Picks a server that has room for an attempt.

        Args:
            attempt: The attempt.

        Returns:
            The server, or None where each is full.
        """
        ...
