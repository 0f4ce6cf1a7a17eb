"""Choose each target in turn."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState


class RoundRobin:
    """Choose each target in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose the next target.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        return candidates[next(self._turns) % len(candidates)]
