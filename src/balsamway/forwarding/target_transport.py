"""The interface over which attempts reach targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.exchange import ConnectionPool
    from balsamway.forwarding.attempt_result import AttemptResult


class TargetTransport(Protocol):
    """Sends attempts to targets and classifies their responses."""

    async def send(
        self,
        pool: ConnectionPool,
        target: TargetEntry,
        request: EntryRequest,
        timeout_seconds: float,
    ) -> AttemptResult:
        """Send one attempt and wait for its result.

        Cancelling the call also cancels the attempt at the target.

        Args:
            pool: The connections to the target.
            target: The target. Only this incarnation may serve the attempt.
            request: The caller's request.
            timeout_seconds: The time left to the request's deadline.

        Returns:
            The result of the attempt, no later than its timeout.
        """
        ...
