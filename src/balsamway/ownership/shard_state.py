"""The state of a shard that its leader keeps in memory."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import KeyRange, ShardRecord, SliceEntry


class ShardState:
    """The assignment in force, and what restricts the leader's grants.

    Args:
        record: The record that the claim wrote.
    """

    def __init__(self, record: ShardRecord) -> None:
        self.record = record
        """The record in force; ahead of the store if that is unavailable."""
        self.stored_record = record
        """The record that the store is known to hold."""
        self._last_grant_epoch = max(record.last_grant_epoch, record.reserved_epochs[0])
        self._paused: set[KeyRange] = set()
        self._excluded: set[KeyRange] = set()
        self._blocked_until: dict[KeyRange, float] = {}
        self._reserved: set[KeyRange] = set()

    @property
    def last_grant_epoch(self) -> int:
        """The highest grant epoch drawn."""
        return self._last_grant_epoch

    @property
    def is_ahead_of_store(self) -> bool:
        """Whether the store does not hold the assignment in force."""
        if self.record.slices is self.stored_record.slices:
            return False
        return self.record.slices != self.stored_record.slices

    def find_entry(self, searched: KeyRange) -> SliceEntry | None:
        """Find a slice by its exact range.

        Args:
            searched: The range.

        Returns:
            The slice as it is now; None if no slice has this range.
        """
        for entry in self.record.slices:
            if entry.range == searched:
                return entry
        return None

    def entries_owned_by(self, target: str) -> list[SliceEntry]:
        """Return the slices that are assigned to a target."""
        return [entry for entry in self.record.slices if entry.owner == target]

    def grantable_entries(self, target: str) -> tuple[SliceEntry, ...]:
        """Return the slices that a target may be granted now.

        Args:
            target: The target's name.

        Returns:
            The slices assigned to it that no other target may still hold.
        """
        return tuple(
            entry
            for entry in self.entries_owned_by(target)
            if entry.range not in self._excluded and not self.is_blocked(entry.range)
        )

    def provisional(self) -> frozenset[KeyRange]:
        """Return the ranges of the slices whose owner is not stored yet."""
        if not self.is_ahead_of_store:
            return frozenset()
        stored = {
            (entry.range, entry.owner, entry.epoch)
            for entry in self.stored_record.slices
        }
        return frozenset(
            entry.range
            for entry in self.record.slices
            if (entry.range, entry.owner, entry.epoch) not in stored
        )

    def next_grant_epoch(self) -> int:
        """Draw a grant epoch from the block that this leader epoch reserves.

        Returns:
            An epoch higher than any drawn before.
        """
        self._last_grant_epoch += 1
        return self._last_grant_epoch

    def replace_entries(self, entries: Iterable[SliceEntry]) -> None:
        """Replace slices in memory, ahead of the store.

        Args:
            entries: The slices, each of a range that the record has.
        """
        self.record = with_entries(self.record, entries, self._last_grant_epoch)

    def pause_requests(self, ranges: Iterable[KeyRange]) -> None:
        """Have gateways pause new requests for slices."""
        self._paused.update(ranges)

    def are_requests_paused(self, searched: KeyRange) -> bool:
        """Whether new requests for a slice are paused."""
        return searched in self._paused

    def exclude_from_grants(self, ranges: Iterable[KeyRange]) -> None:
        """Leave slices out of every grant from now on."""
        self._excluded.update(ranges)

    def resume(self, ranges: Iterable[KeyRange]) -> None:
        """Resume the requests for slices, and grant the slices again."""
        resumed = set(ranges)
        self._paused -= resumed
        self._excluded -= resumed

    def block(self, searched: KeyRange, until: float) -> None:
        """Leave a slice out of grants until a previous grant has expired.

        Args:
            searched: The range of the slice.
            until: The event loop time at which the previous grant expires.
        """
        self._blocked_until[searched] = until

    def unblock(self, searched: KeyRange) -> None:
        """End the block of a slice, as its owner is known to hold it."""
        self._blocked_until.pop(searched, None)

    def is_blocked(self, searched: KeyRange) -> bool:
        """Whether a previous grant of a slice may not have expired yet."""
        until = self._blocked_until.get(searched)
        if until is None:
            return False
        if now() < until:
            return True
        del self._blocked_until[searched]
        return False

    def reserve(self, ranges: Iterable[KeyRange]) -> list[KeyRange]:
        """Reserve slices, so that only one change at a time sets their owner.

        Args:
            ranges: The ranges of the slices to reserve.

        Returns:
            The ranges that no other change had reserved.
        """
        available = [
            key_range for key_range in ranges if key_range not in self._reserved
        ]
        self._reserved.update(available)
        return available

    def is_reserved(self, searched: KeyRange) -> bool:
        """Whether a change of a slice's owner is in progress."""
        return searched in self._reserved

    def release_reservation(self, ranges: Iterable[KeyRange]) -> None:
        """End the reservations of slices."""
        self._reserved.difference_update(ranges)


def with_entries(
    record: ShardRecord, entries: Iterable[SliceEntry], last_epoch: int
) -> ShardRecord:
    """Return a record with some of its slices replaced.

    Args:
        record: The record.
        entries: The slices, each of a range that the record has.
        last_epoch: The highest grant epoch drawn.

    Returns:
        The record in which each slice replaces the one of the same range.
    """
    changed = {entry.range: entry for entry in entries}
    slices = tuple(changed.get(entry.range, entry) for entry in record.slices)
    return replace(
        record,
        slices=slices,
        version=record.version + 1,
        last_grant_epoch=last_epoch,
    )
