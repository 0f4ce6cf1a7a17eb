"""Takes the configuration from the store into force."""

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
    """Implements `KindHandler` for the configuration."""

    def __init__(
        self,
        name: str,
        decode: Callable[[bytes], RoutingConfiguration | Malformed],
        adopt: Callable[[RoutingConfiguration], None],
    ) -> None:
        """Prepares the handler.

        Args:
            name: The name of the object that holds the configuration.
            decode: Reads a configuration.
            adopt: Puts one in force, unless a later one already is.
        """
        self._name = name
        self._decode = decode
        self._adopt = adopt

    def on_snapshot(self, objects: tuple[StoredObject, ...]) -> None:
        """Takes over the configuration among all objects of its kind."""
        for found in objects:
            self.on_changed(found)

    def on_changed(self, found: StoredObject) -> None:
        """Takes over the configuration, if it is that."""
        if found.name != self._name:
            return
        match self._decode(found.body):
            case Malformed(reason=reason):
                logger.error("configuration-unreadable", extra={"reason": reason})
            case configuration:
                self._adopt(configuration)

    def on_removed(self, name: str) -> None:
        """Keeps what is in force."""
        if name == self._name:
            logger.warning("configuration-removed")

    def on_store_recovered(self) -> None:
        """Needs nothing more than the listing that follows."""
