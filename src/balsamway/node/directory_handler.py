"""Apply the entries of targets from the store to the target directory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.discovery import TargetDirectory, TargetEntry
    from balsamway.store.store import StoredObject


class DirectoryHandler:
    """Handle changes of targets' entries; implements `KindHandler`."""

    def __init__(
        self,
        directory: TargetDirectory,
        decode: Callable[[str, bytes], TargetEntry | None],
    ) -> None:
        """Create the handler.

        Args:
            directory: The directory that the entries are applied to.
            decode: Decode the entry of a given name; None if the body is not
                a valid entry.
        """
        self._directory = directory
        self._decode = decode

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all entries of the directory."""
        decoded = (
            self._decode(stored_object.name, stored_object.body)
            for stored_object in objects
        )
        self._directory.replace([entry for entry in decoded if entry is not None])

    def on_changed(self, stored_object: StoredObject) -> None:
        """Update one entry, or remove it if its new body is not valid."""
        entry = self._decode(stored_object.name, stored_object.body)
        if entry is None:
            self._directory.remove(stored_object.name)
        else:
            self._directory.update(entry)

    def on_removed(self, name: str) -> None:
        """Remove an entry."""
        self._directory.remove(name)

    def on_store_restored(self) -> None:
        """Give targets time to write again what the store has lost."""
        self._directory.on_store_restored()

    def on_store_recovered(self) -> None:
        """Give targets time to register again after an outage of the store."""
        self._directory.on_store_recovered()
