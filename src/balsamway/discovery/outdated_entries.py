"""Entries of targets that the store lists although they are not the latest."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.discovery.target_entry import TargetEntry

HOLD_BACK_SECONDS = 4.0
"""How long an entry that seems outdated is not used. A target that left does
not write its entry again, so that it expires before. A live one is still
listed then."""
GONE_MEMORY_SECONDS = 60.0
"""How long a removed target is remembered. The copy that a store is restored
from is some seconds old, and so is a write that the store executes late."""

logger = logging.getLogger(__name__)


class OutdatedEntries:
    """Holds back the entries that a restore or a late write brought back.

    The store executes a write whose response was lost at once, seconds later
    or never. A later entry of the same target may be known by then.
    """

    def __init__(self) -> None:
        self._gone: dict[str, tuple[TargetEntry, float]] = {}
        """The last entry of removed targets, and when they were removed."""
        self._held_back: dict[str, tuple[TargetEntry, float]] = {}
        """The entries that may be outdated, and when they are used if they
        are still listed."""
        self._restored_at = float("-inf")
        """The event loop time of the last restore."""

    @property
    def is_settling(self) -> bool:
        """Whether the store was restored a short time ago."""
        return now() < self._restored_at + HOLD_BACK_SECONDS

    def on_restored(self) -> None:
        """Record that the store was restored."""
        self._restored_at = now()

    def on_gone(self, entry: TargetEntry) -> None:
        """Record that a target was removed.

        Args:
            entry: The last entry of the target.
        """
        oldest = now() - GONE_MEMORY_SECONDS
        self._gone = {
            name: gone for name, gone in self._gone.items() if gone[1] > oldest
        }
        self._gone[entry.name] = (entry, now())

    def forget_listed(self) -> None:
        """Forget what is held back, as a snapshot says what is listed now."""
        self._held_back = {}

    def on_unlisted(self, name: str) -> None:
        """Record that the store does not list a target any more.

        Args:
            name: The target's name.
        """
        self._held_back.pop(name, None)

    def hold_back(self, entry: TargetEntry, known: TargetEntry | None) -> bool:
        """Hold an entry back if it is or may be outdated.

        Args:
            entry: The entry that the store lists.
            known: The entry known so far, if there is one.

        Returns:
            Whether it is held back.
        """
        self._held_back.pop(entry.name, None)
        latest = known or self._last_of_gone(entry.name)
        if latest is None:
            return False
        is_outdated = entry.is_older_write_than(latest)
        if not is_outdated and not self._may_be_outdated(entry, known, latest):
            return False
        _log_outdated(entry, latest)
        # A target that was removed without a drain may live. Its heartbeats
        # alone are no change that the store reports.
        if not is_outdated or (known is None and not latest.is_draining):
            began_at = self._restored_at if self.is_settling else now()
            self._held_back[entry.name] = (entry, began_at + HOLD_BACK_SECONDS)
        return True

    def take_due(self) -> tuple[TargetEntry, ...]:
        """Return the entries that are still listed and no longer held back."""
        due = tuple(
            entry for entry, due_at in self._held_back.values() if due_at <= now()
        )
        for entry in due:
            del self._held_back[entry.name]
        return due

    def _last_of_gone(self, name: str) -> TargetEntry | None:
        entry, gone_at = self._gone.get(name, (None, 0.0))
        return entry if now() < gone_at + GONE_MEMORY_SECONDS else None

    def _may_be_outdated(
        self, entry: TargetEntry, known: TargetEntry | None, latest: TargetEntry
    ) -> bool:
        """Return whether an entry may be outdated, though not by its sequence.

        Args:
            entry: The entry that the store lists.
            known: The entry known so far, if there is one.
            latest: The known entry, or the last one of a removed target.
        """
        if entry.incarnation != latest.incarnation:
            return entry.incarnation < latest.incarnation
        if entry.sequence < latest.sequence:
            return True
        if not self.is_settling:
            return False
        if known is not None:
            return known.is_draining and not entry.is_draining
        # A target that was removed since the restore was missing from the
        # copy, so that a later entry of it was written since.
        return self._gone[entry.name][1] <= self._restored_at


def _log_outdated(entry: TargetEntry, latest: TargetEntry) -> None:
    logger.info(
        "target-entry-outdated",
        extra={
            "target": entry.name,
            "incarnation": entry.incarnation,
            "sequence": entry.sequence,
            "latest_incarnation": latest.incarnation,
            "latest_sequence": latest.sequence,
        },
    )
