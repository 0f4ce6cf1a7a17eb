"""A witness's answer to a request to adopt a leader epoch."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("adopt-answer")
@dataclass(frozen=True, slots=True)
class AdoptAnswer:
    """A witness's answer to a request to adopt a leader epoch."""

    adopted: bool
    epoch: int
    """The highest leader epoch that the witness has adopted."""
    incarnation: int
    """The incarnation of the witness that answers."""
    wait_seconds: float = 0.0
    """How long promises to leaders of older epochs still run."""
    reason: str = ""
