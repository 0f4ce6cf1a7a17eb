"""A leader's question to a peer whether it reaches targets."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("reach-request")
@dataclass(frozen=True, slots=True)
class ReachRequest:
    """Asks a peer whether it reaches targets that the leader does not."""

    shard: ShardId
    epoch: int
    """The leader epoch."""
    targets: tuple[str, ...]
    """The names of the targets to survey."""
