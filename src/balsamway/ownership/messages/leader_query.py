"""A query to a witness for its promise."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("leader-query")
@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Asks a witness whether its promise for a shard is still running."""

    shard: ShardId
