"""The interface to the other entry hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """No answer came from the peer; it may have acted on the message."""

    reason: str


Handler: TypeAlias = Callable[[str, Any], Awaitable[Any]]
"""Takes the name of the sending host and the message; returns the answer."""


class Peers(Protocol):
    """Sends messages to the other entry hosts and hands theirs to handlers."""

    async def call(self, host: str, message: Any, timeout_seconds: float) -> Any:
        """Sends a message and waits for its answer.

        Args:
            host: The name of the entry host; this host's own name is allowed.
            message: A registered message.
            timeout_seconds: The longest time to wait.

        Returns:
            The answer, or a `PeerFailure`.
        """
        ...

    def send(self, host: str, message: Any) -> None:
        """Sends a message that wants no answer, if the peer is connected.

        Args:
            host: The name of the entry host.
            message: A registered message.
        """
        ...

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of a message class.

        Args:
            message_type: The registered class.
            handler: Called with the sender's name and the message.
        """
        ...
