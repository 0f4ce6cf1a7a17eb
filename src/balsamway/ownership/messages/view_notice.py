"""A changed view that a leader pushes to a gateway."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_view import ShardView


@message("view-notice")
@dataclass(frozen=True, slots=True)
class ViewNotice:
    """Carries a changed view to a gateway without renewing it.

    The gateway uses the view at once, and answers when it sends no more
    requests by an older view. The expiry stays that of the view it had.
    """

    view: ShardView
    fence: bool = False
    """Whether the gateway also waits for requests in flight.

    If so, it answers only when no request by an older view is in flight to a
    target that lost a slice in this view.
    """
