"""The record of a shard, the only durable statement of who owns its slices."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.shard_id import ShardId
from balsamway.slices.slice_entry import SliceEntry
from balsamway.slices.witness import Witness

GRANT_EPOCHS_PER_LEADER_EPOCH = 1 << 24
"""The number of grant epochs that each leader epoch reserves."""


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """A shard as it is stored, which changes by conditional updates only."""

    shard: ShardId
    version: int
    """The version of the assignment, which rises by one with each change."""
    leader: Witness | None
    leader_epoch: int
    roster: tuple[Witness, ...]
    """The witnesses whose promises support a leader."""
    slices: tuple[SliceEntry, ...]
    """Sorted by range. Together they cover every position once."""
    last_grant_epoch: int = 0
    change_id: str = ""
    """Drawn at random by the writer, which recognizes its own write by it if
    the store's response was lost."""

    @property
    def reserved_epochs(self) -> range:
        """The grant epochs that only the leader of this epoch may use."""
        first = self.leader_epoch * GRANT_EPOCHS_PER_LEADER_EPOCH
        return range(first, first + GRANT_EPOCHS_PER_LEADER_EPOCH)
