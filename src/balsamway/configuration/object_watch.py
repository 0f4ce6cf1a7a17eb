"""Follows one object of the store."""

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

WATCH_SECONDS = 2.0
PAUSE_SECONDS = 0.05
LONGEST_BACKOFF_SECONDS = 1.0

logger = logging.getLogger(__name__)


class ObjectWatch(mode.Service):
    """Hands over an object's body at the start and at each change."""

    def __init__(
        self, store: Store, name: str, on_body: Callable[[bytes], None], rng: Random
    ) -> None:
        """Prepares the watch.

        Args:
            store: Where the object is.
            name: The object's name.
            on_body: Takes each body.
            rng: Spreads the calls after a failure.
        """
        super().__init__()
        self._store = store
        self._name = name
        self._on_body = on_body
        self._is_reached = True
        self._backoff = Backoff(rng, longest_seconds=LONGEST_BACKOFF_SECONDS)

    @mode.Service.task
    async def _follow(self) -> None:
        version: int | None = None
        while not self.should_stop:
            found = await self._store.watch(self._name, version, WATCH_SECONDS)
            match found:
                case Unavailable(reason=reason):
                    self._note_unreached(reason)
                    await self.sleep(self._backoff.next_seconds())
                    continue
                case StoredObject(version=changed, body=body) if changed != version:
                    version = changed
                    self._on_body(body)
                case Absent():
                    version = None
            self._note_reached()
            await self.sleep(PAUSE_SECONDS)

    def _note_unreached(self, reason: str) -> None:
        if self._is_reached:
            extra = {"object": self._name, "reason": reason}
            logger.warning("configuration watch lost", extra=extra)
        self._is_reached = False

    def _note_reached(self) -> None:
        if not self._is_reached:
            extra = {"object": self._name}
            logger.info("configuration watch restored", extra=extra)
        self._is_reached = True
        self._backoff.reset()
