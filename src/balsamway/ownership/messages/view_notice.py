"""The leader pushes a changed view; it renews nothing."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_view import ShardView


@message("view-notice")
@dataclass(frozen=True, slots=True)
class ViewNotice:
    """The leader pushes a changed view; it renews nothing.

    The gateway routes by it at once, answers when it sends nothing more by an
    older one, and keeps the end of the view that it had.
    """

    view: ShardView
    fence: bool = False
    """Whether to answer only when no request by an older view is in flight to
    a target that lost a slice by this view."""
