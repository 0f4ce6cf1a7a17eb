"""The interface to the targets that one queue of requests waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_state import TargetState


class TargetGroup(Protocol):
    """The targets that one queue of requests waits for."""

    @property
    def expected_latency(self) -> float:
        """How long an answer takes, in seconds; 0 where none came yet."""
        ...

    @property
    def rate(self) -> float:
        """How many answers a second the targets give; 0 for unknown."""
        ...

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to wait for."""
        ...

    def pick(self, attempt: Attempt) -> TargetState | None:
        """Picks a target that has room for an attempt.

        Args:
            attempt: The attempt.

        Returns:
            The target, or None where each is full.
        """
        ...
