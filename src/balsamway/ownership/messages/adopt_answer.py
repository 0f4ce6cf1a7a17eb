"""A witness's answer to a request to adopt an epoch."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("adopt-answer")
@dataclass(frozen=True, slots=True)
class AdoptAnswer:
    """A witness's answer to a request to adopt an epoch."""

    adopted: bool
    epoch: int
    incarnation: int
    wait_seconds: float = 0.0
    """How long the promises to older epochs still run."""
    reason: str = ""
