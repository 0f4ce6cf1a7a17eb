"""A leader gives a shard up before its promises run out."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("resignation")
@dataclass(frozen=True, slots=True)
class Resignation:
    """Says that a leader acts no more by its epoch, and never will again."""

    shard: ShardId
    epoch: int
    leader: Witness
