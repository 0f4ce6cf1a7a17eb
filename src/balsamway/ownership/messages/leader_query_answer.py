"""What a witness knows of the leadership of a shard."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("leader-query-answer")
@dataclass(frozen=True, slots=True)
class LeaderQueryAnswer:
    """What a witness knows of the leadership of a shard."""

    epoch: int
    promise_seconds: float
    """How long its promise still runs; 0 for none."""
    incarnation: int
