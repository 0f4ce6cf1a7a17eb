"""Chooses each target in turn."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState


class RoundRobin:
    """Chooses each target in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Chooses the next target.

        Args:
            candidates: The targets that have room; at least one.

        Returns:
            The target to send to.
        """
        return candidates[next(self._turns) % len(candidates)]
