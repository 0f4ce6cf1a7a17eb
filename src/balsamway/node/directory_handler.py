"""Takes targets' entries from the store into the directory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.discovery import TargetDirectory, TargetEntry
    from balsamway.store.store import StoredObject


class DirectoryHandler:
    """Implements `KindHandler` for the entries of targets."""

    def __init__(
        self,
        directory: TargetDirectory,
        decode: Callable[[str, bytes], TargetEntry | None],
    ) -> None:
        """Prepares the handler.

        Args:
            directory: Where entries go.
            decode: Reads an entry; None for one that names no target.
        """
        self._directory = directory
        self._decode = decode

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Takes over all entries."""
        found = (self._decode(one.name, one.body) for one in objects)
        self._directory.replace([entry for entry in found if entry is not None])

    def on_changed(self, found: StoredObject) -> None:
        """Takes over one entry, or takes it out if it cannot be used."""
        entry = self._decode(found.name, found.body)
        if entry is None:
            self._directory.remove(found.name)
        else:
            self._directory.update(entry)

    def on_removed(self, name: str) -> None:
        """Takes an entry out."""
        self._directory.remove(name)

    def on_store_recovered(self) -> None:
        """Lets entries that lapsed in the outage return."""
        self._directory.on_store_recovered()
