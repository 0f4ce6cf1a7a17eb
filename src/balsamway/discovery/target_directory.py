"""The targets that are known, and which of them may get requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.discovery.target_entry import TargetEntry

RETURN_SECONDS = 1.8
"""How long entries that lapsed in an outage of the store may take to return.
Live targets are back within about two seconds, and one that returns later is
taken in again; one that left must get nothing three seconds after the outage,
of which this host may learn the end a second late."""

logger = logging.getLogger(__name__)


class TargetDirectory:
    """Follows the entries of targets.

    An entry that lapsed while the store was away names a target that may be
    alive, so it stays until the time for its return has passed.
    """

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._missing: dict[str, float] = {}
        """The moment at which an entry that may return counts as gone."""
        self._by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._returned_at = float("-inf")
        self._listed = False
        self._changed_at = float("-inf")

    @property
    def has_snapshot(self) -> bool:
        """Whether the whole list has been read once."""
        return self._listed

    @property
    def changed_at(self) -> float:
        """When the set of targets last changed, by the runtime's clock."""
        return self._changed_at

    @property
    def entries(self) -> Iterable[TargetEntry]:
        """All entries, those that may return included."""
        return self._entries.values()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has a function called after each change.

        Args:
            listener: Called without arguments.
        """
        self._listeners.append(listener)

    def find(self, name: str) -> TargetEntry | None:
        """Gives the entry of a target, or None.

        Args:
            name: The target's name.
        """
        return self._entries.get(name)

    def available_targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Gives the targets of a service that are not draining.

        Args:
            service: The name of the service.
        """
        return self._by_service.get(service, ())

    def on_store_recovered(self) -> None:
        """Notes that the store answers again after an outage."""
        self._returned_at = now()

    def replace(self, entries: Iterable[TargetEntry]) -> None:
        """Takes over a whole list.

        Args:
            entries: The entries that the store holds.
        """
        found = {entry.name: entry for entry in entries}
        for name in [name for name in self._entries if name not in found]:
            self._miss(name)
        for entry in found.values():
            self._put(entry)
        self._listed = True
        self._publish()

    def update(self, entry: TargetEntry) -> None:
        """Takes over one entry that changed.

        Args:
            entry: The entry as it is now.
        """
        if self._entries.get(entry.name) != entry or entry.name in self._missing:
            self._put(entry)
            self._publish()

    def remove(self, name: str) -> None:
        """Takes out an entry that the store removed.

        Args:
            name: The target's name.
        """
        if name in self._entries:
            self._miss(name)
            self._publish()

    def remove_expired(self) -> None:
        """Takes out the entries whose time to return has passed."""
        late = [name for name, at in self._missing.items() if at <= now()]
        for name in late:
            self._drop(name)
        if late:
            self._publish()

    def _put(self, entry: TargetEntry) -> None:
        before = self._entries.get(entry.name)
        self._missing.pop(entry.name, None)
        self._entries[entry.name] = entry
        if before is None or before.key != entry.key:
            self._changed_at = now()
        if before is None or (before.key, before.is_draining) != (
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

    def _miss(self, name: str) -> None:
        until = self._returned_at + RETURN_SECONDS
        if until > now() and not self._entries[name].is_draining:
            self._missing.setdefault(name, until)
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        entry = self._entries.pop(name)
        self._changed_at = now()
        logger.info("target-gone", extra={"target": name, "service": entry.service})

    def _publish(self) -> None:
        services: dict[str, list[TargetEntry]] = {}
        for entry in self._entries.values():
            if not entry.is_draining:
                services.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(found) for name, found in services.items()}
        for listener in self._listeners:
            listener()
