"""Follows the objects of one kind."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.store.backoff import Backoff
from balsamway.store.batch import Batch
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import Unavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.store.kind_handler import KindHandler
    from balsamway.store.object_store import ObjectStore
    from balsamway.store.store import StoredObject

OUTAGE_SECONDS = 1.0
"""Calls that fail for longer than this mean that the store is away; one
broken connection is mended sooner."""
CONFIRMATION_SECONDS = 1.3
"""How long an answer that another host had from the store is relied on. That
host's connection may go silent, or that host may end, just before a change;
two seconds after it a leaving target must have had the last of what its keys
still bring, for which `DRAIN_SHARE` leaves half a second."""
LONGEST_BACKOFF_SECONDS = 0.5
"""Bounds how late the end of an outage is noticed."""

logger = logging.getLogger(__name__)


class KindWatch(mode.Service):
    """Lists a kind, then watches it, and begins again when cut off.

    It rests while another host, which watches the same kind, vouches that all
    changes are known here.
    """

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
        self.wait_seconds = wait_seconds
        """How long the next call waits for a change."""
        self._rearm_seconds = rearm_seconds
        self._backoff = Backoff(
            rng, first_seconds=0.1, longest_seconds=LONGEST_BACKOFF_SECONDS
        )
        self._revision: int | None = None
        self._answered_at: float | None = None
        self._failing_since: float | None = None
        self._objects: dict[str, StoredObject] = {}
        self._known_revision = -1
        self._last_change_revision = -1
        self._vouched_until = float("-inf")
        self._was_vouched = False
        self._listeners: list[Callable[[Batch], None]] = []

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
    def last_change_revision(self) -> int:
        """A revision after which no change is known."""
        return self._last_change_revision

    @property
    def is_confirmed(self) -> bool:
        """Whether another host vouches that all changes are known here."""
        return now() < self._vouched_until

    @property
    def objects(self) -> tuple[StoredObject, ...]:
        """The objects as last known, which a peer may take over."""
        return tuple(self._objects.values())

    def replace(self, objects: tuple[StoredObject, ...], revision: int) -> None:
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

    def add_listener(self, listener: Callable[[Batch], None]) -> None:
        """Has a function called with what each watch of this host finds.

        Args:
            listener: Called with the changes of one answer.
        """
        self._listeners.append(listener)

    def on_batch(self, batch: Batch) -> None:
        """Takes over changes that another host's watch found.

        Changes that do not follow on what is known here are left out; then
        nobody vouches for this host, and it asks the store.

        Args:
            batch: The changes.
        """
        if batch.since <= self._known_revision < batch.revision:
            self._apply(batch)

    def on_confirmed(
        self, last_change_revision: int, revision: int, age: float
    ) -> None:
        """Notes how far another host follows the store.

        Args:
            last_change_revision: The revision after which it knows no change.
            revision: The revision up to which it knows all changes.
            age: How many seconds ago the store told it so.
        """
        if self._known_revision < last_change_revision or age >= CONFIRMATION_SECONDS:
            return
        if self.is_failing:
            self._on_regained()
        self._known_revision = max(self._known_revision, revision)
        self._revision = self._known_revision
        self._answered_at = now() - age
        self._vouched_until = self._answered_at + CONFIRMATION_SECONDS
        self._was_vouched = True

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since is not None

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self.is_confirmed:
                await self.sleep(self._vouched_until - now())
            elif self._revision is None:
                await self._list()
            else:
                await self._watch(self._revision)

    async def _list(self) -> None:
        match await self._store.list(self._kind):
            case Listing(objects=objects, revision=revision):
                self._on_answer()
                if revision >= self._known_revision:
                    self._put_all(objects, revision)
                self._revision = self._known_revision
            case Unavailable(reason=reason):
                await self._on_failure(reason)

    async def _watch(self, revision: int) -> None:
        match await self._store.watch(self._kind, revision, self.wait_seconds):
            case Changes(changed=changed, removed=removed, revision=found):
                self._on_answer()
                # Another host's watch may have told more meanwhile.
                if found >= self._known_revision:
                    batch = Batch(self._last_change_revision, found, changed, removed)
                    self._apply(batch)
                    for listener in self._listeners:
                        listener(batch)
                self._revision = self._known_revision
                if changed or removed:
                    await self.sleep(self._rearm_seconds)
            case HistoryGone():
                logger.info("store-history-gone", extra={"kind": self._kind})
                self._revision = None
            case Unavailable(reason=reason) if self.is_confirmed:
                logger.info(
                    "watch-ended", extra={"kind": self._kind, "reason": reason[:200]}
                )
            case Unavailable(reason=reason):
                # What was missed meanwhile is listed whole.
                self._revision = None
                await self._on_failure(reason)

    def _apply(self, batch: Batch) -> None:
        for name in batch.removed:
            self._objects.pop(name, None)
            self._handler.on_removed(name)
        for found in batch.changed:
            self._objects[found.name] = found
            self._handler.on_changed(found)
        self._known_revision = batch.revision
        if not batch.is_empty:
            self._last_change_revision = batch.revision

    def _put_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        self._objects = {one.name: one for one in objects}
        self._known_revision = self._last_change_revision = revision
        self._handler.on_snapshot(objects)

    def _on_answer(self) -> None:
        if self._failing_since is not None:
            self._on_regained()
        self._answered_at = now()
        self._was_vouched = False
        self._backoff.reset()

    def _on_regained(self) -> None:
        assert self._failing_since is not None
        seconds = now() - self._failing_since
        self._failing_since = None
        logger.info(
            "store-regained",
            extra={"kind": self._kind, "seconds": round(seconds, 3)},
        )
        if seconds > OUTAGE_SECONDS:
            self._handler.on_store_recovered()

    async def _on_failure(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = now()
            if self._was_vouched and self._answered_at is not None:
                # The outage that ended the vouching began unseen by this host.
                self._failing_since = self._answered_at
            logger.warning(
                "store-lost", extra={"kind": self._kind, "reason": reason[:200]}
            )
        await self.sleep(self._backoff.next_seconds())
