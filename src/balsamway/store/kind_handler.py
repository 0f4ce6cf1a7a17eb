"""The interface of what takes in the objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store.store import StoredObject


class KindHandler(Protocol):
    """Takes what a watch finds."""

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Takes over all objects of the kind."""
        ...

    def on_changed(self, found: StoredObject) -> None:
        """Takes over an object that was written."""
        ...

    def on_removed(self, name: str) -> None:
        """Takes out an object that was removed."""
        ...

    def on_store_recovered(self) -> None:
        """Notes that the store answers after an outage."""
        ...
