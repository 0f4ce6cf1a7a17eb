"""A leader asks a peer whether it reaches targets."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("reach-request")
@dataclass(frozen=True, slots=True)
class ReachRequest:
    """A leader that reaches no target asks a peer whether it reaches any."""

    shard: ShardId
    epoch: int
    targets: tuple[str, ...]
