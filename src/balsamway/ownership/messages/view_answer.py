"""A leader's answer to a request for its view."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_view import ShardView


@message("view-answer")
@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """Carries a view, a renewal, or a refusal of the leader."""

    view: ShardView | None
    """The whole view; None for a renewal or a refusal."""
    renewed: bool
    """Whether the view that the gateway has is current and was renewed."""
    duration_seconds: float
    """How long the view is valid from when the gateway sent its request.

    0 for a refusal.
    """
    reason: str = ""
