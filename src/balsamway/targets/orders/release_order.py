"""Release ranges of a target, which responds when their requests ended."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Release ranges of a target, which responds when their requests ended."""

    shard: ShardId
    leader_epoch: int
    ranges: tuple[KeyRange, ...]
    generation: int
    """A number that grows with every order of a leader epoch."""
