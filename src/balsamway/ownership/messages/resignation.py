"""The resignation of a leader before its promises expire."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("resignation")
@dataclass(frozen=True, slots=True)
class Resignation:
    """Says that a leader no longer acts in its epoch and never will again."""

    shard: ShardId
    epoch: int
    """The leader epoch."""
    leader: Witness
