"""A witness's answer to a request for a promise."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("promise-answer")
@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """A witness's answer to a request for a promise."""

    given: bool
    epoch: int
    """The highest leader epoch that the witness has adopted."""
    incarnation: int
    """The incarnation of the witness that answers."""
    reason: str = ""
