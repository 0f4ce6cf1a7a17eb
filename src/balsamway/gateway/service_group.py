"""The group of the targets of a service without exclusive keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.ejection import without_ejected

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.target_state import TargetState

EJECTION_INTERVAL_SECONDS = 0.05
"""How often the targets are checked for ejection."""


class ServiceGroup:
    """The group of the targets of a service without exclusive keys."""

    def __init__(
        self, candidates: Callable[[], Sequence[TargetState]], chooser: Chooser
    ) -> None:
        """Initialize the group of a service.

        Args:
            candidates: Returns the targets that this gateway may use.
            chooser: The policy that chooses among those with capacity.
        """
        self._candidates = candidates
        self._chooser = chooser
        self._available: list[TargetState] = []
        self._listed: Sequence[TargetState] = ()
        self._refresh_at = 0.0

    @property
    def expected_latency(self) -> float:
        """The expected time to a response in seconds, 0 if unknown."""
        latencies = [state.latency for state in self._targets() if state.latency]
        return sum(latencies) / len(latencies) if latencies else 0.0

    @property
    def responses_per_second(self) -> float:
        """The expected responses per second of all targets, 0 if unknown."""
        return sum(state.responses_per_second for state in self._targets())

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to wait for."""
        return not self._targets()

    def select(self, attempt: Attempt) -> TargetState | None:
        """Select a target that has capacity.

        Targets that the request was not sent to are preferred.

        Args:
            attempt: The attempt. A hedge goes to no target that the request
                was sent to.

        Returns:
            The target, or None if none has capacity.
        """
        states = [state for state in self._targets() if state.has_capacity]
        if attempt.was_sent_before:
            unused = [state for state in states if not attempt.was_sent_to(state.name)]
            if unused or attempt.is_hedge:
                states = unused
        if not states:
            return None
        return self._chooser.choose(states)

    def _targets(self) -> list[TargetState]:
        listed = self._candidates()
        now = asyncio.get_running_loop().time()
        if listed is not self._listed or now >= self._refresh_at:
            self._listed = listed
            self._available = without_ejected(listed)
            self._refresh_at = now + EJECTION_INTERVAL_SECONDS
        return self._available
