"""A witness's answer to a query for its promise."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("leader-query-answer")
@dataclass(frozen=True, slots=True)
class LeaderQueryAnswer:
    """A witness's answer to a query for its promise."""

    epoch: int
    """The highest leader epoch that the witness has adopted."""
    promise_seconds: float
    """How long its promise still runs; 0 for no promise."""
    incarnation: int
    """The incarnation of the witness that answers."""
