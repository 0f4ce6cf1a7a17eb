"""Chooses a server of the own zone if there is one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.server_state import ServerState


class ZoneFirst:
    """Chooses a server of the own zone if there is one with room."""

    def __init__(self, zone: str, chooser: Chooser) -> None:
        """Makes the chooser of a gateway.

        Args:
            zone: The gateway's own availability zone.
            chooser: Chooses within the servers that are left.
        """
        self._zone = zone
        self._chooser = chooser

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses a server in the own zone, else any.

        Args:
            candidates: The servers that have room; at least one.

        Returns:
            The server to send to.
        """
        near = [state for state in candidates if state.host.zone == self._zone]
        return self._chooser.choose(near or candidates)
