"""The interface that chooses a target for a request without an owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.target_state import TargetState


class Chooser(Protocol):
    """Choose a target for a request without an owner."""

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose one of the targets.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        ...
