"""Choose the target with the fewest requests of this gateway in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState


class LeastInFlight:
    """Choose a target with the fewest requests, at random between equals."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose a target with the fewest requests in flight.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        fewest = min(candidate.in_flight for candidate in candidates)
        return self._rng.choice(
            [candidate for candidate in candidates if candidate.in_flight == fewest]
        )
