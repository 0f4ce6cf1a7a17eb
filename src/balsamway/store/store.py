"""The interface of the platform's object store and the results of calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object in the store."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """No object of this name exists in the store."""

    name: str
    era: int = 0
    """The era of the store, see `balsamway.store.era`."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed without any effect on the store."""

    reason: str


@dataclass(frozen=True, slots=True)
class Written:
    """The conditional update took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The conditional update was refused, since the version differed."""

    current: StoredObject | Absent


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The conditional update may have taken effect, or may do so later."""

    reason: str


ReadResult: TypeAlias = StoredObject | Absent | Unavailable
WriteResult: TypeAlias = Written | Conflict | Unavailable | WriteUnknown


class Store(Protocol):
    """The platform's object store."""

    async def read(self, name: str) -> ReadResult:
        """Read one object.

        Args:
            name: The object's name, with slashes between its parts.

        Returns:
            The object, or the reason why there is none.
        """
        ...

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Update one object if it has the expected version.

        Args:
            name: The object's name.
            body: The new value, at most one megabyte.
            expected_version: The version to replace; None to create the
                object.

        Returns:
            Whether the update took effect.
        """
        ...

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Wait until an object has another version than the given one.

        Args:
            name: The object's name.
            after_version: The known version; None for an absent object.
            timeout_seconds: The longest time to wait.

        Returns:
            The object after the wait, whether it changed or not; or the
            reason why there is none.
        """
        ...
