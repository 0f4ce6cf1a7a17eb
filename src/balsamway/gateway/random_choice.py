"""Choose a target at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState


class RandomChoice:
    """Choose a target at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose any target.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        return self._rng.choice(candidates)
