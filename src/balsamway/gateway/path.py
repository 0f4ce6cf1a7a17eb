"""The interface of the ways that an attempt can go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.outcome import Verdict


class Path(Protocol):
    """A way that an attempt can go."""

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Makes one attempt.

        Args:
            attempt: The attempt.

        Returns:
            What became of it, no later than the request's deadline.
        """
        ...
