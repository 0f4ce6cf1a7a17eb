"""The interface to the other entry hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """No response came from the peer, which may have handled the message."""

    reason: str


Handler: TypeAlias = Callable[[str, Any], Awaitable[Any]]
"""Handles a message. It is called with the name of the sending host and the
message, and returns the response."""


class Peers(Protocol):
    """Sends messages to the other entry hosts, and dispatches theirs."""

    async def call(self, host: str, message: Any, timeout_seconds: float) -> Any:
        """Send a message and wait for the response.

        Args:
            host: The name of the entry host. This host's own name is allowed.
            message: A registered message.
            timeout_seconds: The longest time to wait.

        Returns:
            The response, or a `PeerFailure`.
        """
        ...

    def send(self, host: str, message: Any) -> None:
        """Send a message without a response, if the peer is connected.

        Args:
            host: The name of the entry host.
            message: A registered message.
        """
        ...

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message class.

        Args:
            message_type: The registered class.
            handler: Called with the sender's name and the message.
        """
        ...
