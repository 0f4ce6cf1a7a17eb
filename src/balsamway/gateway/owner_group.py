"""The one target that owns a key, as a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_state import TargetState


class OwnerGroup:
    """The one target that owns a key, as a group."""

    def __init__(self, state: TargetState) -> None:
        self._state = state

    @property
    def expected_latency(self) -> float:
        """How long an answer takes, in seconds; 0 where none came yet."""
        return self._state.latency

    @property
    def rate(self) -> float:
        """How many answers a second the target gives; 0 for unknown."""
        return self._state.rate

    @property
    def is_empty(self) -> bool:
        """Whether this host may not connect to the target."""
        return self._state.limit.value < 1

    def pick(self, attempt: Attempt) -> TargetState | None:
        """Gives the target if it has room.

        Args:
            attempt: The attempt.

        Returns:
            The target, or None where it is full.
        """
        return self._state if self._state.has_room else None
