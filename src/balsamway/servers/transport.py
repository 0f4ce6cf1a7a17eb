"""The interface over which gateways send requests to servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.servers.request import ServerRequest
    from balsamway.store import Host


class ServerTransport(Protocol):
    """Carries requests to servers."""

    async def send(self, server: Host, request: ServerRequest) -> Verdict:
        """Sends one attempt; cancelling the call cancels it at the server.

        Args:
            server: The server to send to.
            request: The attempt, with the time left to its deadline.

        Returns:
            What became of the attempt, no later than its deadline.
        """
        ...
