"""A new leader's request to the previous one to report its grants."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("lapse-request")
@dataclass(frozen=True, slots=True)
class LapseRequest:
    """Asks the leader of an ended epoch which grants and views are left."""

    shard: ShardId
    epoch: int
    """The leader epoch that has ended, the one before the sender's."""
    leader: Witness
    """The host and incarnation that led in that epoch."""
