"""Where a request for a key goes, or why it goes nowhere."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.outcome import Reason
    from balsamway.slices import KeyRange, ShardId


@dataclass(frozen=True, slots=True)
class Route:
    """The owner of a key by the gateway's view of the shard."""

    shard: ShardId
    range: KeyRange
    owner: str
    epoch: int
    """The fencing token to send."""
    leader_epoch: int
    revision: int
    valid_until: float
    """The end of the gateway's view, by the runtime's clock."""
    enforces_epochs: bool = False
    """Whether the owner refuses requests of older epochs.

    An attempt at an owner that does not has its deadline no later than
    `valid_until`.
    """


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No owner is known that the request may be sent to."""

    reason: Reason
