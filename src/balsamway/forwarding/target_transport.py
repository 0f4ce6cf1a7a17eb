"""How an attempt is carried to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.exchange import ConnectionPool
    from balsamway.forwarding.attempt_result import AttemptResult


class TargetTransport(Protocol):
    """Carries attempts to targets and judges their answers."""

    async def send(
        self,
        pool: ConnectionPool,
        target: TargetEntry,
        request: EntryRequest,
        timeout_seconds: float,
    ) -> AttemptResult:
        """Sends one attempt; cancelling the call cancels it at the target.

        Args:
            pool: The connections to the target.
            target: The target, which no other may stand in for.
            request: The caller's request.
            timeout_seconds: The time left to the request's deadline.

        Returns:
            What became of the attempt, no later than its timeout.
        """
        ...
