"""Put the configuration from the store in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.routing import RoutingConfiguration
    from balsamway.store.store import StoredObject

logger = logging.getLogger(__name__)


class ConfigurationHandler:
    """Handle changes of the stored configuration; implements `KindHandler`."""

    def __init__(
        self,
        name: str,
        decode: Callable[[bytes], RoutingConfiguration | Malformed],
        adopt: Callable[[RoutingConfiguration], None],
    ) -> None:
        """Create the handler.

        Args:
            name: The name of the object that holds the configuration.
            decode: Decode a stored configuration.
            adopt: Put a configuration in force, unless a later version
                already is.
        """
        self._name = name
        self._decode = decode
        self._adopt = adopt

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Adopt the configuration if the snapshot contains it."""
        for stored_object in objects:
            self.on_changed(stored_object)

    def on_changed(self, stored_object: StoredObject) -> None:
        """Adopt the configuration; ignore other objects of the kind.

        A configuration that can't be decoded is logged, and the one in force
        is kept.
        """
        if stored_object.name != self._name:
            return
        match self._decode(stored_object.body):
            case Malformed(reason=reason):
                logger.error("configuration-unreadable", extra={"reason": reason})
            case configuration:
                self._adopt(configuration)

    def on_removed(self, name: str) -> None:
        """Log the removal and keep the configuration in force."""
        if name == self._name:
            logger.warning("configuration-removed")

    def on_store_restored(self) -> None:
        """Do nothing: the configuration in force stays, if it is later."""

    def on_store_recovered(self) -> None:
        """Do nothing: the snapshot that follows brings the configuration."""
