"""How many targets a peer reaches."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("reach-answer")
@dataclass(frozen=True, slots=True)
class ReachAnswer:
    """How many of the targets that were named answered the peer."""

    reached: int
