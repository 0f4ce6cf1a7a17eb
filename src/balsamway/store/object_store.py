"""The interface of a store that holds objects by kind and name."""

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
    """All objects of a kind, as of one revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed among the objects of a kind."""

    changed: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    """The names of the removed objects."""
    revision: int
    """Where to go on watching."""


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer knows what changed since that revision."""


ListResult: TypeAlias = "Listing | Unavailable"
WatchResult: TypeAlias = "Changes | HistoryGone | Unavailable"


class ObjectStore(Protocol):
    """A store with conditional updates and watches over kinds."""

    async def list(self, kind: str) -> ListResult:
        """Reads all objects of a kind.

        Args:
            kind: The kind.

        Returns:
            The objects, or why there are none.
        """
        ...

    async def watch(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> WatchResult:
        """Waits for a change among the objects of a kind.

        Args:
            kind: The kind.
            after_revision: The revision from which on changes are wanted.
            wait_seconds: The longest time to wait for one.

        Returns:
            The changes, none if there were none in time.
        """
        ...

    async def read(self, kind: str, name: str, allow_stale: bool = False) -> ReadResult:
        """Reads one object.

        Args:
            kind: The kind.
            name: The object's name.
            allow_stale: Whether an answer some seconds old will do, which is
                cheaper.

        Returns:
            The object, or why there is none.
        """
        ...

    async def write(
        self, kind: str, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Updates one object if its version is the expected one.

        Args:
            kind: The kind.
            name: The object's name.
            body: The new value, JSON.
            expected_version: The version to replace; None to create it.

        Returns:
            Whether the update took effect.
        """
        ...
