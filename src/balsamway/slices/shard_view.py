"""What a gateway knows of a shard, and for how long it may use it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.key_range import KeyRange
from balsamway.slices.shard_id import ShardId


@dataclass(frozen=True, slots=True)
class ViewSlice:
    """A slice as gateways route its requests."""

    range: KeyRange
    owner: str
    """The target that has the grant. Empty while there is no owner."""
    epoch: int
    """The grant epoch, sent with each request as the fencing token."""
    held: bool = False
    """Whether new requests are paused until the slice has its next owner."""
    provisional: bool = False
    """Whether the owner is not recorded in the store yet."""
    checked: bool = False
    """Whether the owner is known to enforce fencing tokens, that is to refuse
    requests with older grant epochs."""


@dataclass(frozen=True, slots=True)
class ShardView:
    """The routing of one shard, as its leader sent it last."""

    shard: ShardId
    leader_epoch: int
    revision: int
    """Rises with every change by the leader, and restarts with each leader
    epoch."""
    duration_seconds: float
    """How long the view is valid, from when the gateway requested it."""
    slices: tuple[ViewSlice, ...]
    """Sorted by range. Together they cover every position once."""
