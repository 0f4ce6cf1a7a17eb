"""Keep a copy of the objects of one kind up to date."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.store.backoff import Backoff
from balsamway.store.batch import Batch
from balsamway.store.era import era_of
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import Unavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.store.kind_handler import KindHandler
    from balsamway.store.object_store import ObjectStore
    from balsamway.store.store import StoredObject

MIN_OUTAGE_SECONDS = 1.0
"""The time for which calls must fail before it counts as an outage of the
store. A single broken connection is replaced sooner."""
CONFIRMATION_SECONDS = 1.3
"""The time for which a response that the leader got from the store confirms
this host's copy. The leader's connection may stop delivering data, or the
leader may stop, right before a change. A draining target must get no more
requests two seconds after the change. Half a second of these is taken by the
requests that it still gets for its keys; see `TargetState`."""
MAX_BACKOFF_SECONDS = 0.5
"""The longest delay between two failed calls. It bounds how late the end of
an outage is detected."""

logger = logging.getLogger(__name__)


class KindWatch(mode.Service):
    """Read a snapshot of a kind, then watch the kind for changes.

    After a failed call it starts over with a snapshot. It makes no calls
    while the leader, which watches the same kind, confirms that all changes
    are known here.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        handler: KindHandler,
        wait_seconds: float,
        coalesce_seconds: float,
        rng: random.Random,
    ) -> None:
        """Create a watch without starting it.

        Args:
            store: The store to call.
            kind: The kind of the objects.
            handler: Handles the objects and changes that are received.
            wait_seconds: The longest time that one watch call waits for a
                change. It bounds how long a connection that no longer
                delivers data goes undetected.
            coalesce_seconds: The pause between a change and the next watch
                call, so that further changes arrive in one response.
            rng: Draws the jitter of the backoff.
        """
        super().__init__()
        self._store = store
        self._kind = kind
        self._handler = handler
        self.wait_seconds = wait_seconds
        """The longest time that the next watch call waits for a change."""
        self._coalesce_seconds = coalesce_seconds
        self._backoff = Backoff(
            rng, first_seconds=0.1, longest_seconds=MAX_BACKOFF_SECONDS
        )
        self._watch_revision: int | None = None
        """The revision after which to watch; None if a snapshot is needed."""
        self._response_at: float | None = None
        """The event loop time of the store's last response, to this host or
        to the leader."""
        self._failing_since: float | None = None
        self._objects: dict[str, StoredObject] = {}
        self._known_revision = -1
        self._last_change_revision = -1
        self._confirmed_until = float("-inf")
        self._was_confirmed = False
        """Whether the last response was one to the leader."""
        self._listeners: list[Callable[[Batch], None]] = []

    @property
    def label(self) -> str:
        """The name of the service in logs and in the state dump."""
        return f"KindWatch({self._kind})"

    @property
    def age_seconds(self) -> float | None:
        """Seconds since the store last responded; None if it never did.

        Responses to the leader count as well.
        """
        return None if self._response_at is None else now() - self._response_at

    @property
    def known_revision(self) -> int:
        """The revision of the store up to which all changes are known."""
        return self._known_revision

    @property
    def last_change_revision(self) -> int:
        """The revision of the last known change or, if later, snapshot."""
        return self._last_change_revision

    @property
    def is_confirmed(self) -> bool:
        """Whether the leader confirms that all changes are known here."""
        return now() < self._confirmed_until

    @property
    def objects(self) -> tuple[StoredObject, ...]:
        """All objects of the kind, as last known."""
        return tuple(self._objects.values())

    def replace(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        """Replace all objects by a peer's copy.

        The copy is ignored unless the store does not answer this host and the
        copy is newer than what is known here.

        Args:
            objects: All objects of the kind.
            revision: The revision of the peer's copy.
        """
        if not self.is_failing or revision <= self._known_revision:
            return
        logger.info(
            "objects-taken-from-peer",
            extra={"kind": self._kind, "revision": revision, "n": len(objects)},
        )
        self._replace_all(objects, revision)

    def add_listener(self, listener: Callable[[Batch], None]) -> None:
        """Add a function that is called for each watch response.

        It is not called for changes that come from another host.

        Args:
            listener: Called with the changes of one response, which may be
                empty.
        """
        self._listeners.append(listener)

    def on_batch(self, batch: Batch) -> None:
        """Apply changes that the leader received from the store.

        A batch is ignored if it is known already, or if changes before it are
        missing here. In the second case the leader can't confirm this host's
        copy, so that this host calls the store again.

        Args:
            batch: The changes.
        """
        if batch.since <= self._known_revision < batch.revision:
            self._apply(batch)

    def on_confirmed(
        self, last_change_revision: int, revision: int, age: float
    ) -> None:
        """Record the leader's progress, which may confirm this host's copy.

        The copy is confirmed if it contains the last change that the leader
        knows and if the store's response to the leader is recent enough.

        Args:
            last_change_revision: The revision of the last change or snapshot
                that the leader knows.
            revision: The revision up to which the leader knows all changes.
            age: Seconds since the store's response to the leader.
        """
        if 0 <= self._known_revision and era_of(self._known_revision) < era_of(
            last_change_revision
        ):
            # The restored store may have given out the known revision again,
            # and would let a watch from there wait.
            self._watch_revision = None
            self._confirmed_until = float("-inf")
            return
        if self._known_revision < last_change_revision or age >= CONFIRMATION_SECONDS:
            return
        if self.is_failing:
            self._on_available_again()
        self._known_revision = max(self._known_revision, revision)
        self._watch_revision = self._known_revision
        self._response_at = now() - age
        self._confirmed_until = self._response_at + CONFIRMATION_SECONDS
        self._was_confirmed = True

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed.

        False as soon as the leader confirms this host's copy.
        """
        return self._failing_since is not None

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self.is_confirmed:
                await self.sleep(self._confirmed_until - now())
            elif self._watch_revision is None:
                await self._read_snapshot()
            else:
                await self._watch(self._watch_revision)

    async def _read_snapshot(self) -> None:
        known_revision = self._known_revision
        match await self._store.list(self._kind):
            case Listing(objects=objects, revision=revision):
                if revision < known_revision:
                    await self._on_failure("the snapshot is older than what is known")
                    return
                self._on_response()
                # Changes up to a later revision may have arrived from the
                # leader during the call.
                if revision >= self._known_revision:
                    self._replace_all(objects, revision)
                self._watch_revision = self._known_revision
            case Unavailable(reason=reason):
                await self._on_failure(reason)

    async def _watch(self, revision: int) -> None:
        match await self._store.watch(self._kind, revision, self.wait_seconds):
            case Changes(changed=changed, removed=removed, revision=new_revision):
                self._on_response()
                # Changes up to a later revision may have arrived from the
                # leader during the call.
                if new_revision >= self._known_revision:
                    batch = Batch(
                        self._last_change_revision, new_revision, changed, removed
                    )
                    self._apply(batch)
                    for listener in self._listeners:
                        listener(batch)
                self._watch_revision = self._known_revision
                if changed or removed:
                    await self.sleep(self._coalesce_seconds)
            case HistoryGone():
                logger.info("store-history-gone", extra={"kind": self._kind})
                self._watch_revision = None
            case Unavailable(reason=reason) if self.is_confirmed:
                logger.info(
                    "watch-ended", extra={"kind": self._kind, "reason": reason[:200]}
                )
            case Unavailable(reason=reason):
                # The next snapshot contains the changes missed until then.
                self._watch_revision = None
                await self._on_failure(reason)

    def _apply(self, batch: Batch) -> None:
        for name in batch.removed:
            self._objects.pop(name, None)
            self._handler.on_removed(name)
        for stored_object in batch.changed:
            self._objects[stored_object.name] = stored_object
            self._handler.on_changed(stored_object)
        self._known_revision = batch.revision
        if not batch.is_empty:
            self._last_change_revision = batch.revision

    def _replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        if self._known_revision >= 0 and era_of(revision) > era_of(
            self._known_revision
        ):
            logger.warning(
                "objects-restored",
                extra={
                    "kind": self._kind,
                    "revision": revision,
                    "known": self._known_revision,
                },
            )
            self._handler.on_store_restored()
        self._objects = {stored_object.name: stored_object for stored_object in objects}
        self._known_revision = self._last_change_revision = revision
        self._handler.on_snapshot(objects)

    def _on_response(self) -> None:
        if self._failing_since is not None:
            self._on_available_again()
        self._response_at = now()
        self._was_confirmed = False
        self._backoff.reset()

    def _on_available_again(self) -> None:
        assert self._failing_since is not None
        failing_seconds = now() - self._failing_since
        self._failing_since = None
        logger.info(
            "store-regained",
            extra={"kind": self._kind, "seconds": round(failing_seconds, 3)},
        )
        if failing_seconds > MIN_OUTAGE_SECONDS:
            self._handler.on_store_recovered()

    async def _on_failure(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = now()
            if self._was_confirmed and self._response_at is not None:
                # This host made no calls while its copy was confirmed, so the
                # outage may have begun right after the last response that the
                # leader got.
                self._failing_since = self._response_at
            logger.warning(
                "store-lost", extra={"kind": self._kind, "reason": reason[:200]}
            )
        await self.sleep(self._backoff.next_seconds())
