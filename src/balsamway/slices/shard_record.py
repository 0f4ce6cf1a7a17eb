"""The record of a shard, the only lasting statement of who owns what."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices.shard_id import ShardId
from balsamway.slices.slice_entry import SliceEntry
from balsamway.slices.witness import Witness

GRANT_EPOCHS_PER_LEADER_EPOCH = 1 << 24
"""How many grant epochs each leader epoch reserves."""


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """What the store holds of a shard; conditional updates change it."""

    shard: ShardId
    version: int
    """The version of the assignment; one more at every change of it."""
    leader: Witness | None
    leader_epoch: int
    roster: tuple[Witness, ...]
    slices: tuple[SliceEntry, ...]
    """Sorted by range; together they cover every position once."""
    last_grant_epoch: int = 0
    change_id: str = ""
    """Drawn by the writer, to tell its own write after a lost answer."""

    @property
    def reserved_epochs(self) -> range:
        """The grant epochs that only the leader of this epoch may give."""
        first = self.leader_epoch * GRANT_EPOCHS_PER_LEADER_EPOCH
        return range(first, first + GRANT_EPOCHS_PER_LEADER_EPOCH)
