"""The objects in the store of the platform stand-in."""

from __future__ import annotations

import asyncio

from balsamway.store import Absent, Conflict, StoredObject, Written


class ObjectTable:
    """Stores versioned objects, with conditional updates and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._changes: dict[str, asyncio.Event] = {}
        self._last_version = 0

    def get(self, name: str) -> StoredObject | Absent:
        """Return the current state of an object.

        Args:
            name: The object's name.

        Returns:
            The object, or `Absent` if there is none.
        """
        return self._objects.get(name) or Absent(name)

    def update(
        self, name: str, body: bytes, expected: int | None
    ) -> Written | Conflict:
        """Replace an object if it has the expected version.

        Args:
            name: The object's name.
            body: The new value.
            expected: The expected version; None if the object must be absent.

        Returns:
            The new version, or `Conflict` with the current object.
        """
        current = self.get(name)
        version = current.version if isinstance(current, StoredObject) else None
        if version != expected:
            return Conflict(current)
        self._last_version += 1
        self._objects[name] = StoredObject(name, self._last_version, body)
        change = self._changes.pop(name, None)
        if change is not None:
            change.set()
        return Written(self._last_version)

    async def wait_for_change(
        self, name: str, known_version: int, timeout: float
    ) -> None:
        """Wait until an object's version differs from the known one.

        Return without an error when the timeout passes first.

        Args:
            name: The object's name.
            known_version: The known version; 0 for an absent object.
            timeout: The maximum time to wait, in seconds.
        """
        current = self.get(name)
        version = current.version if isinstance(current, StoredObject) else 0
        if version != known_version:
            return
        change = self._changes.setdefault(name, asyncio.Event())
        try:
            async with asyncio.timeout(timeout):
                await change.wait()
        except TimeoutError:
            return
