"""A witness's answer to a request for its promise."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("promise-answer")
@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """A witness's answer to a request for its promise."""

    given: bool
    epoch: int
    """The highest epoch that the witness has adopted."""
    incarnation: int
    reason: str = ""
