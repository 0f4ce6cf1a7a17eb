"""The leader's answer: a view, a renewal, or a refusal."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_view import ShardView


@message("view-answer")
@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """The leader's answer: a view, a renewal, or a refusal."""

    view: ShardView | None
    """The whole view; None where the gateway's is current or was refused."""
    renewed: bool
    duration_seconds: float
    """Counts from the moment that the gateway sent its request."""
    reason: str = ""
