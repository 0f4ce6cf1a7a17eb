"""The interface of the handlers for objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store.store import StoredObject


class KindHandler(Protocol):
    """Handle the objects that a `KindWatch` receives."""

    def on_listing(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the known objects by a snapshot of the kind."""
        ...

    def on_changed(self, stored_object: StoredObject) -> None:
        """Apply an object that was created or updated."""
        ...

    def on_removed(self, name: str) -> None:
        """Apply the removal of an object."""
        ...

    def on_returned(self) -> None:
        """Record that the store is available again after an outage.

        Called before the snapshot that follows.
        """
        ...
