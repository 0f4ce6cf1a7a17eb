"""The interface for dispatching an attempt to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.outcome import Verdict


class DispatchPath(Protocol):
    """Dispatch attempts to targets."""

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Make one attempt.

        Args:
            attempt: The attempt.

        Returns:
            The verdict on the attempt, by the request's deadline.
        """
        ...
