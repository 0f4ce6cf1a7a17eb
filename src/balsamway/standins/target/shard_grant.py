"""What a target holds of one shard."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.targets.orders import GrantedRange


@dataclass(slots=True)
class ShardGrant:
    """The grant of one shard, and the highest order accepted for it."""

    leader_epoch: int = 0
    generation: int = -1
    ranges: tuple[GrantedRange, ...] = ()
    valid_until: float = 0.0
    """By the target's own clock."""
