"""Follows the configurations in the store while this host is a relay."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.configuration.codec import decode_workspaces
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.configuration.object_watch import ObjectWatch
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from balsamway.configuration.configuration_table import ConfigurationTable
    from balsamway.configuration.relays import Relays
    from balsamway.store import Store

ADJUST_SECONDS = 0.25

logger = logging.getLogger(__name__)


class StoreFollower(mode.Service):
    """Holds a watch on the index and on each workspace served in the zone."""

    def __init__(
        self,
        zone: str,
        store: Store,
        relays: Relays,
        table: ConfigurationTable,
        on_body: Callable[[str, bytes], None],
        rng: Random,
    ) -> None:
        """Prepares the follower.

        Args:
            zone: This host's availability zone.
            store: Where configurations are kept.
            relays: Tells whether this host follows the store.
            table: Tells which workspaces are served in the zone.
            on_body: Takes a workspace's name and a stored configuration.
            rng: Spreads the calls after a failure.
        """
        super().__init__()
        self._zone = zone
        self._store = store
        self._relays = relays
        self._table = table
        self._on_body = on_body
        self._rng = rng
        self._listed: tuple[str, ...] = ()
        self._index: ObjectWatch | None = None
        self._watches: dict[str, ObjectWatch] = {}

    def dump(self) -> dict[str, object]:
        """Describes the follower for the state dump."""
        return {
            "relay": self._index is not None,
            "listed": list(self._listed),
            "watched": sorted(self._watches),
        }

    @mode.Service.task
    async def _adjust(self) -> None:
        while not self.should_stop:
            await self._adjust_index()
            await self._adjust_workspaces()
            await self.sleep(ADJUST_SECONDS)

    async def _adjust_index(self) -> None:
        if not self._relays.is_relay:
            if self._index is not None:
                await self.remove_dependency(self._index)
            self._index = None
        elif self._index is None:
            self._index = self._watch(WORKSPACES_OBJECT, self._on_index)
            await self.add_runtime_dependency(self._index)

    async def _adjust_workspaces(self) -> None:
        wanted = self._wanted()
        for workspace in self._watches.keys() - wanted:
            await self.remove_dependency(self._watches.pop(workspace))
        for workspace in sorted(wanted - self._watches.keys()):
            watch = self._watch(f"configuration/{workspace}", self._taker(workspace))
            self._watches[workspace] = watch
            await self.add_runtime_dependency(watch)

    def _wanted(self) -> set[str]:
        if self._index is None:
            return set()
        return {workspace for workspace in self._listed if self._is_served(workspace)}

    def _is_served(self, workspace: str) -> bool:
        known = self._table.workspace(workspace)
        return known is None or any(zone.name == self._zone for zone in known.zones)

    def _watch(self, name: str, on_body: Callable[[bytes], None]) -> ObjectWatch:
        return ObjectWatch(self._store, name, on_body, self._rng)

    def _taker(self, workspace: str) -> Callable[[bytes], None]:
        return lambda body: self._on_body(workspace, body)

    def _on_index(self, body: bytes) -> None:
        match decode_workspaces(body):
            case Malformed(reason=reason):
                logger.error("workspace index malformed", extra={"reason": reason})
            case workspaces:
                self._listed = workspaces
