"""The claim of an entry host to lead a shard."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.shard_id import ShardId


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """A shard and the epoch in which an entry host leads it."""

    shard: ShardId
    epoch: int
