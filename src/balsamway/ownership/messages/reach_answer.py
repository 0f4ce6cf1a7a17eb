"""A peer's answer to the question whether it reaches targets."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("reach-answer")
@dataclass(frozen=True, slots=True)
class ReachAnswer:
    """Says how many of the named targets answered the peer."""

    reached: int
