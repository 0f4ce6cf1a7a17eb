"""A new leader asks the one before what may still run of its grants."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("lapse-request")
@dataclass(frozen=True, slots=True)
class LapseRequest:
    """Asks the leader of an epoch that has ended for its last state."""

    shard: ShardId
    epoch: int
    """The epoch that has ended; the one before the asker's."""
    leader: Witness
    """The run of the daemon that led by it."""
