"""What the leader of a shard holds in memory."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import KeyRange, ShardRecord, SliceEntry


class ShardState:
    """The assignment that a leader acts by, and what restrains its grants.

    Args:
        record: The record that the claim wrote.
    """

    def __init__(self, record: ShardRecord) -> None:
        self.record = record
        """The assignment acted by; ahead of the store while it is down."""
        self.stored = record
        """The assignment that the store is known to hold."""
        self._last_epoch = max(record.last_grant_epoch, record.reserved_epochs[0])
        self._held: set[KeyRange] = set()
        self._withheld: set[KeyRange] = set()
        self._blocked: dict[KeyRange, float] = {}
        self._busy: set[KeyRange] = set()

    @property
    def last_epoch(self) -> int:
        """The highest grant epoch drawn."""
        return self._last_epoch

    @property
    def ahead(self) -> bool:
        """Whether the store does not hold the assignment acted by."""
        if self.record.slices is self.stored.slices:
            return False
        return self.record.slices != self.stored.slices

    def entry(self, searched: KeyRange) -> SliceEntry | None:
        """Finds a slice by its exact range.

        Args:
            searched: The range.

        Returns:
            The slice as it is now, or None where no slice has the range.
        """
        for entry in self.record.slices:
            if entry.range == searched:
                return entry
        return None

    def owned_by(self, target: str) -> list[SliceEntry]:
        """Lists the slices that are assigned to a target."""
        return [one for one in self.record.slices if one.owner == target]

    def grantable(self, target: str) -> tuple[SliceEntry, ...]:
        """Lists the slices that a target may be granted now.

        Args:
            target: The target's name.

        Returns:
            The slices assigned to it that no other target may still hold.
        """
        return tuple(
            one
            for one in self.owned_by(target)
            if one.range not in self._withheld and not self.is_blocked(one.range)
        )

    def provisional(self) -> frozenset[KeyRange]:
        """Lists the slices whose owner the store does not hold yet."""
        if not self.ahead:
            return frozenset()
        stored = {(one.range, one.owner, one.epoch) for one in self.stored.slices}
        return frozenset(
            one.range
            for one in self.record.slices
            if (one.range, one.owner, one.epoch) not in stored
        )

    def next_epoch(self) -> int:
        """Draws a grant epoch from the block of this leader's epoch.

        Returns:
            An epoch higher than any before.
        """
        self._last_epoch += 1
        return self._last_epoch

    def replace_entries(self, entries: Iterable[SliceEntry]) -> None:
        """Changes slices in memory, ahead of the store.

        Args:
            entries: The slices, each of a range that the record has.
        """
        self.record = with_entries(self.record, entries, self._last_epoch)

    def hold(self, ranges: Iterable[KeyRange]) -> None:
        """Lets new requests for slices wait."""
        self._held.update(ranges)

    def is_held(self, searched: KeyRange) -> bool:
        """Tells whether new requests for a slice wait."""
        return searched in self._held

    def withhold(self, ranges: Iterable[KeyRange]) -> None:
        """Leaves slices out of every grant from now on."""
        self._withheld.update(ranges)

    def resume(self, ranges: Iterable[KeyRange]) -> None:
        """Ends the hold on slices, and grants them again."""
        found = set(ranges)
        self._held -= found
        self._withheld -= found

    def block(self, searched: KeyRange, until: float) -> None:
        """Leaves a slice out of grants until an earlier grant has lapsed."""
        self._blocked[searched] = until

    def unblock(self, searched: KeyRange) -> None:
        """Ends a block, as the owner is known to hold the slice."""
        self._blocked.pop(searched, None)

    def is_blocked(self, searched: KeyRange) -> bool:
        """Tells whether an earlier grant of a slice may still run."""
        until = self._blocked.get(searched)
        if until is None:
            return False
        if now() < until:
            return True
        del self._blocked[searched]
        return False

    def reserve(self, ranges: Iterable[KeyRange]) -> list[KeyRange]:
        """Reserves slices for one change of owner at a time.

        Args:
            ranges: The slices wanted.

        Returns:
            Those that no other change has reserved.
        """
        free = [one for one in ranges if one not in self._busy]
        self._busy.update(free)
        return free

    def is_reserved(self, searched: KeyRange) -> bool:
        """Tells whether a change of a slice is under way."""
        return searched in self._busy

    def free(self, ranges: Iterable[KeyRange]) -> None:
        """Ends reservations."""
        self._busy.difference_update(ranges)


def with_entries(
    record: ShardRecord, entries: Iterable[SliceEntry], last_epoch: int
) -> ShardRecord:
    """Replaces slices of a record.

    Args:
        record: The record.
        entries: The slices, each of a range that the record has.
        last_epoch: The highest grant epoch drawn.

    Returns:
        The record with the slices in the place of those of the same range.
    """
    changed = {one.range: one for one in entries}
    slices = tuple(changed.get(one.range, one) for one in record.slices)
    return replace(
        record,
        slices=slices,
        version=record.version + 1,
        last_grant_epoch=last_epoch,
    )
