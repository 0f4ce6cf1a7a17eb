"""Chooses a server at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.server_state import ServerState


class RandomChoice:
    """Chooses a server at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[ServerState]) -> ServerState:
        """Chooses any server.

        Args:
            candidates: The servers that have room; at least one.

        Returns:
            The server to send to.
        """
        return self._rng.choice(candidates)
