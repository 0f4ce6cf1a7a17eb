"""The route of a request for a key, or why there is none."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.outcome import Reason
    from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class Route:
    """The owner of a key according to the gateway's view of the shard."""

    shard: ShardId
    range: KeyRange
    """The range of the key's slice."""
    owner: str
    """The name of the target."""
    epoch: int
    """The fencing token to send with the request."""
    leader_epoch: int
    revision: int
    valid_until: float
    """The event loop time at which the gateway's view expires."""
    checked: bool = False
    """Whether the owner enforces fencing tokens.

    If it does not, an attempt must have its deadline at `valid_until` or
    earlier.
    """


@dataclass(frozen=True, slots=True)
class NoRoute:
    """There is no owner that the request may be sent to."""

    reason: Reason
