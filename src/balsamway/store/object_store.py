"""The interface of a store that keeps objects by kind and name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from balsamway.store.store import (
        ReadResult,
        StoredObject,
        Unavailable,
        WriteResult,
    )


@dataclass(frozen=True, slots=True)
class Listing:
    """A snapshot: all objects of a kind, as of one revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes of the objects of a kind since a revision."""

    changed: tuple[StoredObject, ...]
    """The created and updated objects."""
    removed: tuple[str, ...]
    """The names of the removed objects."""
    revision: int
    """The revision from which to continue watching."""


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer keeps the changes since the given revision."""


ListResult: TypeAlias = "Listing | Unavailable"
WatchResult: TypeAlias = "Changes | HistoryGone | Unavailable"


class ObjectStore(Protocol):
    """A store with conditional updates and watches over kinds."""

    async def list(self, kind: str) -> ListResult:
        """Read a snapshot of all objects of a kind.

        Args:
            kind: The kind of the objects.

        Returns:
            The objects, or the reason why they could not be read.
        """
        ...

    async def watch(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> WatchResult:
        """Wait for changes of the objects of a kind.

        Args:
            kind: The kind of the objects.
            after_revision: The revision after which changes are returned.
            wait_seconds: The longest time to wait for a change.

        Returns:
            The changes, which are empty if there were none in that time; or
            the reason why they could not be read.
        """
        ...

    async def read(self, kind: str, name: str, may_be_old: bool = False) -> ReadResult:
        """Read one object.

        Args:
            kind: The kind of the object.
            name: The object's name.
            may_be_old: Whether the read may be stale by some seconds, which
                is cheaper.

        Returns:
            The object, or the reason why there is none.
        """
        ...

    async def write(
        self, kind: str, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Update one object if it has the expected version.

        Args:
            kind: The kind of the object.
            name: The object's name.
            body: The new value, JSON.
            expected_version: The version to replace; None to create the
                object.

        Returns:
            Whether the update took effect.
        """
        ...
