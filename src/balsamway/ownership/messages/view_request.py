"""A gateway's request for the leader's view."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("view-request")
@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks the leader for its view, or to renew the one the gateway has."""

    shard: ShardId
    leader_epoch: int
    """The leader epoch of the view that the gateway has; 0 for none."""
    revision: int
    """The revision of that view; -1 for none."""
