"""A shard that an entry host says it leads."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.shard_id import ShardId


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """A shard, and the epoch that the entry host leads it at."""

    shard: ShardId
    epoch: int
