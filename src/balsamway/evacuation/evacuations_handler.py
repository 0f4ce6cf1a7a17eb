"""Apply the entries of evacuations from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.evacuation.evacuated_zones import EvacuatedZones
    from balsamway.store.store import StoredObject


class EvacuationsHandler:
    """Handle changes of evacuations' entries; implements `KindHandler`.

    An entry is named for its zone. Its value has no meaning.
    """

    def __init__(self, zones: EvacuatedZones) -> None:
        """Create the handler.

        Args:
            zones: The state that the entries are applied to.
        """
        self._zones = zones

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all evacuations."""
        self._zones.replace({stored_object.name for stored_object in objects})

    def on_changed(self, stored_object: StoredObject) -> None:
        """Evacuate a zone."""
        self._zones.add(stored_object.name)

    def on_removed(self, name: str) -> None:
        """End the evacuation of a zone."""
        self._zones.remove(name)

    def on_store_restored(self) -> None:
        """Give the operator time to write again what the store has lost."""
        self._zones.on_store_restored()

    def on_store_recovered(self) -> None:
        """Do nothing: entries do not expire while the store is unavailable."""
