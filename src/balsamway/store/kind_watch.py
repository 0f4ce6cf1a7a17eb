"""Follows the objects of one kind."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

import mode

from balsamway.clock import now
from balsamway.store.backoff import Backoff
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import Unavailable

if TYPE_CHECKING:
    import random

    from balsamway.store.object_store import ObjectStore
    from balsamway.store.store import StoredObject

OUTAGE_SECONDS = 1.0
"""Calls that fail for longer than this mean that the store is away; one
broken connection is mended sooner."""
LONGEST_BACKOFF_SECONDS = 0.5
"""Bounds how late the end of an outage is noticed."""

logger = logging.getLogger(__name__)


class KindHandler(Protocol):
    """Takes what a watch finds."""

    def on_listing(self, objects: tuple[StoredObject, ...]) -> None:
        """Takes over all objects of the kind."""
        ...

    def on_changed(self, found: StoredObject) -> None:
        """Takes over an object that was written."""
        ...

    def on_removed(self, name: str) -> None:
        """Takes out an object that was removed."""
        ...

    def on_returned(self) -> None:
        """Notes that the store answers after an outage."""
        ...


class KindWatch(mode.Service):
    """Lists a kind, then watches it, and begins again when cut off."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        handler: KindHandler,
        wait_seconds: float,
        rearm_seconds: float,
        rng: random.Random,
    ) -> None:
        """Makes a watch that has not begun.

        Args:
            store: The store.
            kind: The kind to follow.
            handler: Takes what is found.
            wait_seconds: How long one call waits for a change. It bounds
                how long a connection that went silent goes unnoticed.
            rearm_seconds: The pause after a change, in which others gather.
            rng: Draws the back-off.
        """
        super().__init__()
        self._store = store
        self._kind = kind
        self._handler = handler
        self._wait_seconds = wait_seconds
        self._rearm_seconds = rearm_seconds
        self._backoff = Backoff(
            rng, first_seconds=0.1, longest_seconds=LONGEST_BACKOFF_SECONDS
        )
        self._revision: int | None = None
        self._answered_at: float | None = None
        self._failing_since: float | None = None
        self._objects: dict[str, StoredObject] = {}
        self._known_revision = -1

    @property
    def label(self) -> str:
        """The name of the service in logs and in the state dump."""
        return f"KindWatch({self._kind})"

    @property
    def age_seconds(self) -> float | None:
        """How long ago the store last answered; None if it never did."""
        return None if self._answered_at is None else now() - self._answered_at

    @property
    def known_revision(self) -> int:
        """The revision of the store up to which changes are known."""
        return self._known_revision

    @property
    def objects(self) -> tuple[StoredObject, ...]:
        """The objects as last known, which a peer may take over."""
        return tuple(self._objects.values())

    def take_over(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        """Takes over what a peer read, where the store does not answer here.

        Args:
            objects: All objects of the kind.
            revision: The revision as of which the peer knows them.
        """
        if not self.is_failing or revision <= self._known_revision:
            return
        logger.info(
            "objects-taken-from-peer",
            extra={"kind": self._kind, "revision": revision, "n": len(objects)},
        )
        self._put_all(objects, revision)

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since is not None

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self._revision is None:
                await self._list()
            else:
                await self._watch(self._revision)

    async def _list(self) -> None:
        match await self._store.list(self._kind):
            case Listing(objects=objects, revision=revision):
                self._on_answer()
                self._put_all(objects, revision)
                self._revision = revision
            case Unavailable(reason=reason):
                await self._on_failure(reason)

    async def _watch(self, revision: int) -> None:
        match await self._store.watch(self._kind, revision, self._wait_seconds):
            case Changes(changed=changed, removed=removed, revision=revision):
                self._on_answer()
                for name in removed:
                    self._objects.pop(name, None)
                    self._handler.on_removed(name)
                for found in changed:
                    self._objects[found.name] = found
                    self._handler.on_changed(found)
                self._revision = self._known_revision = revision
                if changed or removed:
                    await self.sleep(self._rearm_seconds)
            case HistoryGone():
                logger.info("store-history-gone", extra={"kind": self._kind})
                self._revision = None
            case Unavailable(reason=reason):
                # What was missed meanwhile is listed whole.
                self._revision = None
                await self._on_failure(reason)

    def _put_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        self._objects = {one.name: one for one in objects}
        self._known_revision = revision
        self._handler.on_listing(objects)

    def _on_answer(self) -> None:
        since = self._failing_since
        if since is not None:
            self._failing_since = None
            seconds = now() - since
            logger.info(
                "store-regained",
                extra={"kind": self._kind, "seconds": round(seconds, 3)},
            )
            if seconds > OUTAGE_SECONDS:
                self._handler.on_returned()
        self._answered_at = now()
        self._backoff.reset()

    async def _on_failure(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = now()
            logger.warning(
                "store-lost", extra={"kind": self._kind, "reason": reason[:200]}
            )
        await self.sleep(self._backoff.next())
