"""Watch the configurations in the store while this host is a relay."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.configuration.codec import decode_workspaces
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.configuration.object_watcher import ObjectWatcher
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from balsamway.configuration.configuration_table import ConfigurationTable
    from balsamway.configuration.relays import Relays
    from balsamway.store import Store

UPDATE_INTERVAL_SECONDS = 0.25
"""How often the watches are adapted to the relays and the index."""

logger = logging.getLogger(__name__)


class ConfigurationWatcher(mode.Service):
    """Watches the index and each workspace that is served in the zone.

    A host that is not a relay watches nothing.
    """

    def __init__(
        self,
        zone: str,
        store: Store,
        relays: Relays,
        table: ConfigurationTable,
        on_body: Callable[[str, bytes], None],
        rng: Random,
    ) -> None:
        """Create a watcher that watches nothing yet.

        Args:
            zone: This host's availability zone.
            store: The store that holds the configurations.
            relays: Whether this host is a relay.
            table: The configurations in force, which name their zones.
            on_body: Called with a workspace's name and its encoded
                configuration.
            rng: Draws the jitter of the backoff after a failure.
        """
        super().__init__()
        self._zone = zone
        self._store = store
        self._relays = relays
        self._table = table
        self._on_body = on_body
        self._rng = rng
        self._listed: tuple[str, ...] = ()
        self._index_watcher: ObjectWatcher | None = None
        self._watchers: dict[str, ObjectWatcher] = {}

    def dump(self) -> dict[str, object]:
        """Return the watched objects for the state dump."""
        return {
            "relay": self._index_watcher is not None,
            "listed": list(self._listed),
            "watched": sorted(self._watchers),
        }

    @mode.Service.task
    async def _update(self) -> None:
        while not self.should_stop:
            await self._update_index_watcher()
            await self._update_workspace_watchers()
            await self.sleep(UPDATE_INTERVAL_SECONDS)

    async def _update_index_watcher(self) -> None:
        if not self._relays.is_relay:
            if self._index_watcher is not None:
                await self.remove_dependency(self._index_watcher)
            self._index_watcher = None
        elif self._index_watcher is None:
            self._index_watcher = self._new_watcher(WORKSPACES_OBJECT, self._on_index)
            await self.add_runtime_dependency(self._index_watcher)

    async def _update_workspace_watchers(self) -> None:
        wanted = self._workspaces_to_watch()
        for workspace in self._watchers.keys() - wanted:
            await self.remove_dependency(self._watchers.pop(workspace))
        for workspace in sorted(wanted - self._watchers.keys()):
            watcher = self._new_watcher(
                f"configuration/{workspace}", self._body_handler(workspace)
            )
            self._watchers[workspace] = watcher
            await self.add_runtime_dependency(watcher)

    def _workspaces_to_watch(self) -> set[str]:
        if self._index_watcher is None:
            return set()
        return {
            workspace for workspace in self._listed if self._may_be_served(workspace)
        }

    def _may_be_served(self, workspace: str) -> bool:
        known = self._table.workspace(workspace)
        return known is None or any(zone.name == self._zone for zone in known.zones)

    def _new_watcher(
        self, name: str, on_body: Callable[[bytes], None]
    ) -> ObjectWatcher:
        return ObjectWatcher(self._store, name, on_body, self._rng)

    def _body_handler(self, workspace: str) -> Callable[[bytes], None]:
        return lambda body: self._on_body(workspace, body)

    def _on_index(self, body: bytes) -> None:
        match decode_workspaces(body):
            case Malformed(reason=reason):
                logger.error("workspace index malformed", extra={"reason": reason})
            case workspaces:
                self._listed = workspaces
