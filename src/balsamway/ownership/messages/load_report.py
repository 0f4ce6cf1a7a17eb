"""A gateway's report of a shard's load since its last report."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.ownership.messages.key_load import KeyLoad
from balsamway.ownership.messages.range_load import RangeLoad
from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId


@message("load-report")
@dataclass(frozen=True, slots=True)
class LoadReport:
    """A gateway's report of a shard's load since its last report."""

    shard: ShardId
    interval_seconds: float
    """The time that the report covers."""
    ranges: tuple[RangeLoad, ...]
    hot_keys: tuple[KeyLoad, ...]
