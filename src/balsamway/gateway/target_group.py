"""The interface of the targets that one queue of requests waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_state import TargetState


class TargetGroup(Protocol):
    """The targets that one queue of requests waits for."""

    @property
    def expected_latency(self) -> float:
        """The expected time to a response in seconds, 0 if unknown."""
        ...

    @property
    def responses_per_second(self) -> float:
        """The expected responses per second of all targets, 0 if unknown."""
        ...

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to wait for."""
        ...

    def select(self, attempt: Attempt) -> TargetState | None:
        """Select a target that has capacity for an attempt.

        Args:
            attempt: The attempt.

        Returns:
            The target, or None if none has capacity.
        """
        ...
