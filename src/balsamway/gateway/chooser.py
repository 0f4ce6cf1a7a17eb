"""The interface that chooses a server for a request without an owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.server_state import ServerState


class Chooser(Protocol):
    """Chooses a server for a request without an owner."""

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses one of the servers.

        Args:
            candidates: The servers that have room; at least one.

        Returns:
            The server to send to.
        """
        ...
