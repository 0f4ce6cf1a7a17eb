"""A gateway asks the leader for its view, or to renew the one it has."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("view-request")
@dataclass(frozen=True, slots=True)
class ViewRequest:
    """A gateway asks the leader for its view, or to renew the one it has."""

    shard: ShardId
    leader_epoch: int
    revision: int
    """The revision that the gateway has; -1 for none."""
