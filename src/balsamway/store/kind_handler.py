"""The interface of the handlers for objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store.store import StoredObject


class KindHandler(Protocol):
    """Handle the objects that a `KindWatch` receives."""

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the known objects by a snapshot of the kind."""
        ...

    def on_changed(self, stored_object: StoredObject) -> None:
        """Apply an object that was created or updated."""
        ...

    def on_removed(self, name: str) -> None:
        """Apply the removal of an object."""
        ...

    def on_store_restored(self) -> None:
        """Handle a restore of the store, before the snapshot that follows.

        The snapshot lacks what was written since the copy that the store was
        restored from, until its writers have written it again.
        """
        ...

    def on_store_recovered(self) -> None:
        """Record that the store is available again after an outage."""
        ...
