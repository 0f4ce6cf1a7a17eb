"""Chooses among the servers of the own zone while they have room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.server_state import ServerState


class ZoneFirst:
    """Chooses among servers with room: the own zone's first, then any."""

    def __init__(self, zone: str, chooser: Chooser) -> None:
        """Makes the chooser of a gateway.

        Args:
            zone: The gateway's own availability zone.
            chooser: Chooses within the servers that are left.
        """
        self._zone = zone
        self._chooser = chooser

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses a server with room, in the own zone if there is one.

        Args:
            candidates: The servers that may be used; at least one.

        Returns:
            The server to send to.
        """
        with_room = [state for state in candidates if state.admission.has_room]
        near = [state for state in with_room if state.host.zone == self._zone]
        return self._chooser.choose(near or with_room or candidates)
