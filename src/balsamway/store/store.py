"""The interface of the platform's object store, and its results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the store holds it."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """The store holds no object of this name."""

    name: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call was not carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class Written:
    """The conditional update took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The conditional update was refused: the object had another version."""

    current: StoredObject | Absent


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The conditional update may have taken effect, now or later."""

    reason: str


ReadResult: TypeAlias = StoredObject | Absent | Unavailable
WriteResult: TypeAlias = Written | Conflict | Unavailable | WriteUnknown


class Store(Protocol):
    """The platform's object store."""

    async def read(self, name: str) -> ReadResult:
        """Reads one object.

        Args:
            name: The object's name, with slashes between its parts.

        Returns:
            The object, or why there is none.
        """
        ...

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Updates one object if its version is the expected one.

        Args:
            name: The object's name.
            body: The new value, at most one megabyte.
            expected_version: The version to replace; None where the object
                must not exist yet.

        Returns:
            Whether the update took effect.
        """
        ...

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Waits until an object has another version than the one known.

        Args:
            name: The object's name.
            after_version: The version known; None for an absent object.
            timeout_seconds: The longest time to wait.

        Returns:
            The object as it then is, changed or not.
        """
        ...
