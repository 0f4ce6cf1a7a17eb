"""Chooses each server in turn."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.gateway.server_state import ServerState


class RoundRobin:
    """Chooses each server in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses the next server.

        Args:
            candidates: The servers that have room; at least one.

        Returns:
            The server to send to.
        """
        return candidates[next(self._turns) % len(candidates)]
