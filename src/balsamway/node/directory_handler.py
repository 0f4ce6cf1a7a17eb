"""Apply the entries of targets from the store to the target directory."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.discovery import TargetDirectory, TargetEntry
    from balsamway.store.store import StoredObject

MAX_NAME_LOG_CHARACTERS = 100
MAX_REASON_LOG_CHARACTERS = 200
"""Bound a line, since anyone may have written what it shows."""

logger = logging.getLogger(__name__)


class DirectoryHandler:
    """Handle changes of targets' entries; implements `KindHandler`."""

    def __init__(
        self,
        directory: TargetDirectory,
        decode: Callable[[str, bytes], TargetEntry | Malformed],
    ) -> None:
        """Create the handler.

        Args:
            directory: The directory that the entries are applied to.
            decode: Decode the entry of a given name.
        """
        self._directory = directory
        self._decode = decode
        self._malformed_reasons: dict[str, str] = {}
        """Why each malformed entry is malformed, by the target's name. A
        target writes its entry with each heartbeat, but a reason is logged
        only when it changes."""

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all entries of the directory."""
        names = {stored_object.name for stored_object in objects}
        for name in self._malformed_reasons.keys() - names:
            del self._malformed_reasons[name]
        entries: list[TargetEntry] = []
        for stored_object in objects:
            match self._decode(stored_object.name, stored_object.body):
                case Malformed(reason=reason):
                    self._on_malformed(stored_object.name, reason)
                case entry:
                    self._malformed_reasons.pop(entry.name, None)
                    entries.append(entry)
        self._directory.replace(entries)

    def on_changed(self, stored_object: StoredObject) -> None:
        """Update one entry, or remove it if its new body is malformed."""
        match self._decode(stored_object.name, stored_object.body):
            case Malformed(reason=reason):
                self._on_malformed(stored_object.name, reason)
            case entry:
                self._malformed_reasons.pop(entry.name, None)
                self._directory.update(entry)

    def on_removed(self, name: str) -> None:
        """Remove an entry."""
        self._malformed_reasons.pop(name, None)
        self._directory.remove(name)

    def on_store_restored(self) -> None:
        """Give targets time to write again what the store has lost."""
        self._directory.on_store_restored()

    def on_store_recovered(self) -> None:
        """Give targets time to register again after an outage of the store."""
        self._directory.on_store_recovered()

    def _on_malformed(self, name: str, reason: str) -> None:
        self._directory.discard(name)
        reason = reason[:MAX_REASON_LOG_CHARACTERS]
        if self._malformed_reasons.get(name) == reason:
            return
        self._malformed_reasons[name] = reason
        logger.warning(
            "target-entry-unreadable",
            extra={
                "target": name[:MAX_NAME_LOG_CHARACTERS],
                "reason": reason,
            },
        )
