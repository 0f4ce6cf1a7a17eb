"""Entries of targets that a restored store lists as they were before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.discovery.target_entry import TargetEntry

HOLD_BACK_SECONDS = 4.0
"""How long after a restore an entry that seems outdated is not used. A target
that left does not write its entry again, so that it expires before. A live one
is still listed then."""
GONE_MEMORY_SECONDS = 60.0
"""How long a removed target is remembered. The copy that a store is restored
from is some seconds old."""


class OutdatedEntries:
    """Holds back the entries that a restore may have brought back.

    These are entries of targets that were removed, of incarnations before the
    known one, and of draining targets as if they did not drain.
    """

    def __init__(self) -> None:
        self._gone: dict[str, tuple[int, float]] = {}
        """The incarnation of removed targets, and when they were removed."""
        self._held_back: dict[str, TargetEntry] = {}
        self._restored_at = float("-inf")
        """The event loop time of the last restore."""

    @property
    def _is_settling(self) -> bool:
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
        self._gone[entry.name] = (entry.incarnation, now())

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
        """Hold an entry back if it may be outdated.

        Args:
            entry: The entry that the store lists.
            known: The entry known so far, if there is one.

        Returns:
            Whether it is held back.
        """
        self._held_back.pop(entry.name, None)
        if not self._is_settling:
            return False
        if known is not None and known.key == entry.key:
            is_outdated = known.is_draining and not entry.is_draining
        elif known is not None:
            is_outdated = entry.incarnation < known.incarnation
        else:
            is_outdated = self._is_of_gone_target(entry)
        if is_outdated:
            self._held_back[entry.name] = entry
        return is_outdated

    def take_due(self) -> tuple[TargetEntry, ...]:
        """Return the entries that are still listed and no longer held back."""
        if not self._held_back or self._is_settling:
            return ()
        due = tuple(self._held_back.values())
        self._held_back = {}
        return due

    def _is_of_gone_target(self, entry: TargetEntry) -> bool:
        """Return whether an entry is of a target that was removed.

        One that was removed since the restore was missing from the copy, so
        that a later entry of the same incarnation was written since.

        Args:
            entry: The entry that the store lists.
        """
        gone = self._gone.get(entry.name)
        if gone is None:
            return False
        incarnation, gone_at = gone
        if entry.incarnation == incarnation:
            return gone_at <= self._restored_at
        return entry.incarnation < incarnation
