"""Messages that pass objects from the store between entry hosts."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.keyspace.stored_lease import StoredLease
from balsamway.peers.codec import message
from balsamway.store.batch import Batch
from balsamway.store.store import StoredObject


@message("objects-query")
@dataclass(frozen=True, slots=True)
class ObjectsQuery:
    """Request the objects of kinds that the receiver has newer copies of."""

    revisions: dict[str, int]
    """For each requested kind, the revision up to which the sender knows it.
    """


@message("objects-answer")
@dataclass(frozen=True, slots=True)
class ObjectsAnswer:
    """The objects of the kinds that the answering host has newer copies of."""

    revisions: dict[str, int]
    """For each kind, the revision as of which its objects are given."""
    objects: dict[str, tuple[StoredObject, ...]]
    """For each kind, all of its objects."""
    leader: tuple[int, str, str] | None
    """The epoch, name and peer address of the leader, if it is known."""
    peers: dict[str, str]
    """The peer addresses that the answering host knows, by host name."""


@message("objects-changed")
@dataclass(frozen=True, slots=True)
class ObjectsChanged:
    """Changes of one kind that the leader received from the store."""

    epoch: int
    """The leader's epoch."""
    kind: str
    batch: Batch


@message("store-progress")
@dataclass(frozen=True, slots=True)
class StoreProgress:
    """The revisions of the store that the leader has received."""

    sent_at: float
    """The leader's event loop time in seconds. Its zero is arbitrary, so it
    can only be compared with other messages of the same leader."""
    stored: StoredLease
    """The lease as the leader last stored it."""
    kinds: dict[str, tuple[int, int, float]]
    """For each kind: the revision of its last change, the revision up to
    which all changes are known, and the age in seconds of the store's
    response that says so."""
