"""The slices of one shard that a target holds."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.targets.orders import GrantedRange


@dataclass(slots=True)
class ShardGrant:
    """The grant of one shard and the newest order accepted for it."""

    leader_epoch: int = 0
    """The highest leader epoch of an accepted order."""
    generation: int = -1
    """The generation of the newest grant or release of that leader; -1 before
    the first.
    """
    ranges: tuple[GrantedRange, ...] = ()
    valid_until: float = 0.0
    """When the grant expires, in seconds of the target's own clock."""
