"""The record of a shard as read from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import ShardRecord


@dataclass(frozen=True, slots=True)
class FoundRecord:
    """A shard's record and the version of the stored object that holds it."""

    record: ShardRecord | None
    """The record; None if the store holds no record of the shard."""
    object_version: int | None
    """The version of the stored object; None if there is no object."""
    first_seen_at: float
    """The event loop time at which this version was first read."""
    is_roster_lost: bool = False
    """Whether too many witnesses of the roster have restarted.

    The incarnations that remain are no majority, so no majority can promise
    anything to a leader.
    """
