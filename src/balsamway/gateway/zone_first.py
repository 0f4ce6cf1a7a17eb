"""Chooses a target of the own zone if there is one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.target_state import TargetState


class ZoneFirst:
    """Chooses a target of the own zone if there is one with room."""

    def __init__(self, zone: str, chooser: Chooser) -> None:
        """Makes the chooser of a gateway.

        Args:
            zone: The gateway's own availability zone.
            chooser: Chooses within the targets that are left.
        """
        self._zone = zone
        self._chooser = chooser

    def choose(self, candidates: Sequence[TargetState]) -> TargetState:
        """Chooses a target in the own zone, else any.

        Args:
            candidates: The targets that have room; at least one.

        Returns:
            The target to send to.
        """
        near = [state for state in candidates if state.host.zone == self._zone]
        return self._chooser.choose(near or candidates)
