"""The interface that admits requests to targets with a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.forwarding.target_state import TargetState
    from balsamway.limits import Admission, HeldBack


class TargetAdmission(Protocol):
    """Keeps the limits that targets name for all hosts together."""

    def held_back(self, state: TargetState, priority: int) -> HeldBack | None:
        """Return why a request is known not to be admitted now.

        Args:
            state: The target.
            priority: The priority of the request.

        Returns:
            The refusal, or None if the request may be admitted.
        """
        ...

    async def acquire(self, state: TargetState, priority: int) -> Admission:
        """Decide about a request that is sent right after.

        Args:
            state: The target.
            priority: The priority of the request.

        Returns:
            Whether it may be sent.
        """
        ...
