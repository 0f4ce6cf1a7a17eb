"""A gateway's answer to a pushed view."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("view-notice-answer")
@dataclass(frozen=True, slots=True)
class ViewNoticeAnswer:
    """Confirms that a gateway uses the pushed view or a newer one."""

    leader_epoch: int
    revision: int
    drained: bool
    """Whether no request is in flight to a target that lost its slice."""
