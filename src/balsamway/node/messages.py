"""Messages by which hosts tell each other what the store told them."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.keyspace.stored_lease import StoredLease
from balsamway.peers.codec import message
from balsamway.store.batch import Batch
from balsamway.store.store import StoredObject


@message("objects-query")
@dataclass(frozen=True, slots=True)
class ObjectsQuery:
    """Asks for the objects of some kinds, unless they are known already."""

    revisions: dict[str, int]
    """For each kind the revision up to which it is known."""


@message("objects-answer")
@dataclass(frozen=True, slots=True)
class ObjectsAnswer:
    """The objects of the kinds that the asked host knows better."""

    revisions: dict[str, int]
    objects: dict[str, tuple[StoredObject, ...]]
    """For each kind all of its objects."""
    leader: tuple[int, str, str] | None
    """The epoch, name and peer address of the leader."""
    peers: dict[str, str]
    """The peer addresses that the asked host knows."""


@message("objects-changed")
@dataclass(frozen=True, slots=True)
class ObjectsChanged:
    """Changes of one kind that the leader's watch found."""

    epoch: int
    """The leader's epoch."""
    kind: str
    batch: Batch


@message("store-progress")
@dataclass(frozen=True, slots=True)
class StoreProgress:
    """How far the leader follows the store."""

    sent_at: float
    """The leader's clock; only differences between notices mean anything."""
    stored: StoredLease
    """The lease as the leader last stored it."""
    kinds: dict[str, tuple[int, int, float]]
    """For each kind the revision after which no change is known, the revision
    up to which all changes are known, and the seconds since the store told."""
