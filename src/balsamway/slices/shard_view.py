"""What a gateway knows of a shard, and for how long it may act on it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange
from balsamway.slices.shard_id import ShardId


@dataclass(frozen=True, slots=True)
class ViewSlice:
    """One slice as gateways route it."""

    range: KeyRange
    owner: str
    """The target that holds the grant; empty while nobody does."""
    epoch: int
    """The fencing token to send with each request."""
    held: bool = False
    """Whether new requests wait until the slice has its next owner."""
    provisional: bool = False
    """Whether the store has not recorded this owner yet."""
    checked: bool = False
    """Whether the owner is known to refuse requests of older epochs."""


@dataclass(frozen=True, slots=True)
class ShardView:
    """The routing of one shard, as its leader last gave it."""

    shard: ShardId
    leader_epoch: int
    revision: int
    """Grows with every change the leader makes; starts anew each epoch."""
    duration_seconds: float
    """How long the view holds from when the gateway asked."""
    slices: tuple[ViewSlice, ...]
    """Sorted by range; together they cover every position once."""
