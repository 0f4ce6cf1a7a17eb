"""The directory of known targets and of those that may get requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.discovery.leaving_targets import LeavingTargets
from balsamway.discovery.outdated_entries import OutdatedEntries
from balsamway.evacuation import EvacuatedZones

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.discovery.target_entry import TargetEntry

REREGISTRATION_SECONDS = 1.8
"""The time after an outage of the store in which the entries that expired
during the outage are kept, so that live targets can register again. Live
targets register within about two seconds, and a later one is simply added
again. A target that stopped in the outage must get no requests three seconds
after the outage, and this host may detect the end of the outage one second
late."""

logger = logging.getLogger(__name__)


class TargetDirectory:
    """Keep the entries of all targets and notify listeners of changes.

    An entry that expired while the store was unavailable may belong to a live
    target. It is kept for `REREGISTRATION_SECONDS` after the outage.
    """

    def __init__(self, evacuated_zones: EvacuatedZones | None = None) -> None:
        """Create a directory without entries.

        Args:
            evacuated_zones: The zones whose targets are not available. None if
                zones are not evacuated.
        """
        self._entries: dict[str, TargetEntry] = {}
        self._removal_at: dict[str, float] = {}
        """The event loop time at which a missing entry is removed, by name."""
        self._by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._store_recovered_at = float("-inf")
        self._has_snapshot = False
        self._changed_at = float("-inf")
        self._outdated = OutdatedEntries()
        self.leaving = LeavingTargets()
        """The targets that said so themselves, listed as draining or not."""
        self.evacuated_zones = evacuated_zones or EvacuatedZones()
        """The zones whose targets are not available."""
        self.evacuated_zones.add_listener(self._publish)

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot of all entries was received at least once."""
        return self._has_snapshot

    @property
    def changed_at(self) -> float:
        """The event loop time of the last added, restarted or removed target.

        Other changes of an entry, such as draining, do not count.
        """
        return self._changed_at

    @property
    def entries(self) -> Iterable[TargetEntry]:
        """All entries, including those that are missing from the store."""
        return self._entries.values()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called after each change of the entries.

        Args:
            listener: The function to call, without arguments.
        """
        self._listeners.append(listener)

    def find(self, name: str) -> TargetEntry | None:
        """Return the entry of a target, or None if it is not known.

        Args:
            name: The target's name.
        """
        return self._entries.get(name)

    def available_targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that may get any request and key.

        They neither drain nor leave, and their zones are not evacuated.

        Args:
            service: The name of the service.
        """
        return self._by_service.get(service, ())

    def on_leaving(
        self, key: tuple[str, int], since: float, is_from_response: bool
    ) -> None:
        """Record that an incarnation of a target said that it is leaving.

        Args:
            key: The name and the incarnation of the target.
            since: When it said so, in event loop time.
            is_from_response: Whether a response to this host said so.
        """
        if self.leaving.add(key, since, is_from_response):
            self._publish()

    def on_store_recovered(self) -> None:
        """Record that the store is available again after an outage."""
        self._store_recovered_at = now()

    def on_store_restored(self) -> None:
        """Record that the store was restored from an older copy.

        It may list targets that left since, and miss some that registered.
        """
        self._store_recovered_at = now()
        self._outdated.on_restored()

    def replace(self, entries: Iterable[TargetEntry]) -> None:
        """Replace all entries by those of a snapshot.

        Args:
            entries: All entries in the store.
        """
        self._outdated.forget_listed()
        snapshot: dict[str, TargetEntry] = {}
        for entry in entries:
            known = self._entries.get(entry.name)
            if not self._outdated.hold_back(entry, known):
                snapshot[entry.name] = entry
            elif known is not None and self._is_kept(known, entry):
                snapshot[entry.name] = known
        for name in [name for name in self._entries if name not in snapshot]:
            self._on_missing(name)
        for entry in snapshot.values():
            self._put(entry)
        self._has_snapshot = True
        self._publish()

    def update(self, entry: TargetEntry) -> None:
        """Add or replace one entry.

        Args:
            entry: The current entry.
        """
        known = self._entries.get(entry.name)
        if not self._outdated.hold_back(entry, known):
            self._apply(entry)
        elif known is not None and known.key == entry.key:
            self._removal_at.pop(entry.name, None)

    def _apply(self, entry: TargetEntry) -> None:
        known = self._entries.get(entry.name)
        # A target that turns cold twice may write the same entry twice.
        is_changed = known != entry or entry.warmup_seconds > 0
        if is_changed or entry.name in self._removal_at:
            self._put(entry)
            self._publish()

    def remove(self, name: str) -> None:
        """Remove an entry that was removed from the store.

        It is kept for a time if the store was unavailable before.

        Args:
            name: The target's name.
        """
        self._outdated.on_unlisted(name)
        if name in self._entries:
            self._on_missing(name)
            self._publish()

    def discard(self, name: str) -> None:
        """Remove an entry at once, since its target can't be used.

        Args:
            name: The target's name.
        """
        self._outdated.on_unlisted(name)
        if name in self._entries:
            self._delete(name)
            self._publish()

    def remove_expired(self) -> None:
        """Remove the missing entries whose time to register again is over.

        Entries that were held back are used if the store still lists them
        after their time.
        """
        for entry in self._outdated.take_due():
            self._apply(entry)
        expired = [
            name for name, removal_at in self._removal_at.items() if removal_at <= now()
        ]
        for name in expired:
            self._delete(name)
        if expired:
            self._publish()

    def _is_kept(self, known: TargetEntry, listed: TargetEntry) -> bool:
        """Return whether a known entry stays while the listed one is not used.

        A later incarnation that a restore lost has to register again. One that
        a late write hides is listed again with its next heartbeat.
        """
        return known.key == listed.key or not self._outdated.is_settling

    def _put(self, entry: TargetEntry) -> None:
        previous = self._entries.get(entry.name)
        self._removal_at.pop(entry.name, None)
        self._entries[entry.name] = entry
        if previous is None or previous.key != entry.key:
            self._changed_at = now()
        if previous is None or (previous.key, previous.is_draining) != (
            entry.key,
            entry.is_draining,
        ):
            logger.info(
                "target-seen",
                extra={
                    "target": entry.name,
                    "incarnation": entry.incarnation,
                    "service": entry.service,
                    "address": entry.address,
                    "draining": entry.is_draining,
                },
            )

    def _on_missing(self, name: str) -> None:
        removal_at = self._store_recovered_at + REREGISTRATION_SECONDS
        if removal_at > now() and not self._entries[name].is_draining:
            self._removal_at[name] = removal_at
            return
        self._delete(name)

    def _delete(self, name: str) -> None:
        self._removal_at.pop(name, None)
        entry = self._entries.pop(name)
        self._outdated.on_gone(entry)
        self._changed_at = now()
        logger.info("target-gone", extra={"target": name, "service": entry.service})

    def _publish(self) -> None:
        by_service: dict[str, list[TargetEntry]] = {}
        for entry in self._entries.values():
            if (
                not entry.is_draining
                and self.leaving.since(entry.key) is None
                and self.evacuated_zones.find(entry.zone) is None
            ):
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }
        for listener in self._listeners:
            listener()
