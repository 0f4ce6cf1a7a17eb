"""Watch one object of the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.store import Absent, StoredObject, Unavailable
from balsamway.store.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from balsamway.store import Store

WATCH_TIMEOUT_SECONDS = 2.0
"""How long the store holds a watch of an unchanged object open."""
WATCH_PAUSE_SECONDS = 0.05
"""The pause between two watches, which bounds the rate of calls."""
MAX_BACKOFF_SECONDS = 1.0
"""The longest wait after calls to an unavailable store."""

logger = logging.getLogger(__name__)


class ObjectWatcher(mode.Service):
    """Passes on the body of an object at the start and at each change."""

    def __init__(
        self, store: Store, name: str, on_body: Callable[[bytes], None], rng: Random
    ) -> None:
        """Create a watcher of one object.

        Args:
            store: The store that holds the object.
            name: The object's name.
            on_body: Called with each new body.
            rng: Draws the jitter of the backoff after a failure.
        """
        super().__init__()
        self._store = store
        self._name = name
        self._on_body = on_body
        self._is_reached = True
        self._backoff = Backoff(rng, longest_seconds=MAX_BACKOFF_SECONDS)

    @mode.Service.task
    async def _watch(self) -> None:
        version: int | None = None
        while not self.should_stop:
            result = await self._store.watch(self._name, version, WATCH_TIMEOUT_SECONDS)
            match result:
                case Unavailable(reason=reason):
                    self._mark_unreached(reason)
                    await self.sleep(self._backoff.next_seconds())
                    continue
                case StoredObject(version=new_version, body=body) if (
                    new_version != version
                ):
                    version = new_version
                    self._on_body(body)
                case Absent():
                    version = None
            self._mark_reached()
            await self.sleep(WATCH_PAUSE_SECONDS)

    def _mark_unreached(self, reason: str) -> None:
        if self._is_reached:
            extra = {"object": self._name, "reason": reason}
            logger.warning("configuration watch lost", extra=extra)
        self._is_reached = False

    def _mark_reached(self) -> None:
        if not self._is_reached:
            extra = {"object": self._name}
            logger.info("configuration watch restored", extra=extra)
        self._is_reached = True
        self._backoff.reset()
