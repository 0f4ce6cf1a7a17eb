"""Choose a target in the local zone if one has capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.target_state import TargetState


class ZoneFirst:
    """Choose a target in the local zone if one has capacity."""

    def __init__(self, zone: str, chooser: Chooser) -> None:
        """Initialize the policy of a gateway.

        Args:
            zone: The gateway's availability zone.
            chooser: The policy that chooses among the remaining targets.
        """
        self._zone = zone
        self._chooser = chooser

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Choose a target in the local zone, else in any zone.

        Args:
            candidates: The targets that have capacity. At least one.

        Returns:
            The target to send the request to.
        """
        local = [state for state in candidates if state.host.zone == self._zone]
        return self._chooser.choose(local or candidates)
