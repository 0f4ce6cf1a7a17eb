"""The gateway routes by the pushed view, or by a later one."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("view-notice-answer")
@dataclass(frozen=True, slots=True)
class ViewNoticeAnswer:
    """The gateway routes by the pushed view, or by a later one."""

    leader_epoch: int
    revision: int
    drained: bool
