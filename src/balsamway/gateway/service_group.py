"""The targets of a service without exclusive keys, as a group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.ejection import usable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.target_state import TargetState

EJECTION_PERIOD_SECONDS = 0.05
"""How often it is worked out which targets to leave out."""


class ServiceGroup:
    """The targets of a service without exclusive keys, as a group."""

    def __init__(
        self, candidates: Callable[[], Sequence[TargetState]], chooser: Chooser
    ) -> None:
        """Makes the group of a service.

        Args:
            candidates: Lists the targets that this gateway may use.
            chooser: Chooses among those with room.
        """
        self._candidates = candidates
        self._chooser = chooser
        self._usable: list[TargetState] = []
        self._listed: Sequence[TargetState] = ()
        self._refresh_at = 0.0

    @property
    def expected_latency(self) -> float:
        """How long an answer takes, in seconds; 0 where none came yet."""
        latencies = [state.latency for state in self._targets() if state.latency]
        return sum(latencies) / len(latencies) if latencies else 0.0

    @property
    def rate(self) -> float:
        """How many answers a second the targets give; 0 for unknown."""
        return sum(state.rate for state in self._targets())

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to wait for."""
        return not self._targets()

    def pick(self, attempt: Attempt) -> TargetState | None:
        """Picks a target that has room, one that was not tried if possible.

        Args:
            attempt: The attempt; a hedge goes to no target that was tried.

        Returns:
            The target, or None where each is full.
        """
        states = [state for state in self._targets() if state.has_room]
        if attempt.has_tried:
            untried = [state for state in states if not attempt.was_tried(state.name)]
            if untried or attempt.is_hedge:
                states = untried
        if not states:
            return None
        return self._chooser.choose(states)

    def _targets(self) -> list[TargetState]:
        listed = self._candidates()
        now = asyncio.get_running_loop().time()
        if listed is not self._listed or now >= self._refresh_at:
            self._listed = listed
            self._usable = usable(listed)
            self._refresh_at = now + EJECTION_PERIOD_SECONDS
        return self._usable
