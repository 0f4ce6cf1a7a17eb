"""Grants a server exactly these ranges of a shard, and no others."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.servers.orders.granted_range import GrantedRange
from balsamway.slices import ShardId


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """Grants a server exactly these ranges of a shard, and no others."""

    shard: ShardId
    leader_epoch: int
    ranges: tuple[GrantedRange, ...]
    valid_until: float
    """In seconds of the server's own clock."""
    generation: int
    """Grows with every order of one leader epoch; older orders are refused."""
