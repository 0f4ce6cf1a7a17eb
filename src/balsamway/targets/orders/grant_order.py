"""Grant a target exactly these ranges of a shard and no others."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import ShardId
from balsamway.targets.orders.granted_range import GrantedRange


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """Grant a target exactly these ranges of a shard and no others."""

    shard: ShardId
    leader_epoch: int
    ranges: tuple[GrantedRange, ...]
    valid_until: float
    """When the grant expires, in seconds of the target's own clock."""
    generation: int
    """A number that grows with every order of a leader epoch.

    Targets refuse older orders.
    """
