"""Takes ranges from a target, which answers when their runs ended."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Takes ranges from a target, which answers when their runs ended."""

    shard: ShardId
    leader_epoch: int
    ranges: tuple[KeyRange, ...]
    generation: int
