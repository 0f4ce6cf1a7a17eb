"""What a gateway saw of a shard's load since its last report."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.ownership.messages.key_load import KeyLoad
from balsamway.ownership.messages.range_load import RangeLoad
from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("load-report")
@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a gateway saw of a shard's load since its last report."""

    shard: ShardId
    interval_seconds: float
    ranges: tuple[RangeLoad, ...]
    hot_keys: tuple[KeyLoad, ...]
