"""A group that consists of the one target that owns a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_state import TargetState


class OwnerGroup:
    """A group that consists of the one target that owns a key."""

    def __init__(self, state: TargetState) -> None:
        self._state = state

    @property
    def expected_latency(self) -> float:
        """The expected time to a response in seconds, 0 if unknown."""
        return self._state.latency

    @property
    def responses_per_second(self) -> float:
        """The expected responses per second of the target, 0 if unknown."""
        return self._state.responses_per_second

    @property
    def is_empty(self) -> bool:
        """Whether this host may not connect to the target."""
        return self._state.limit.value < 1

    def select(self, attempt: Attempt) -> TargetState | None:
        """Return the target if it has capacity.

        Args:
            attempt: The attempt.

        Returns:
            The target, or None if it has no capacity.
        """
        return self._state if self._state.has_capacity else None
