"""The objects that the platform stand-in holds."""

from __future__ import annotations

import asyncio

from balsamway.store import Absent, Conflict, StoredObject, Written


class ObjectTable:
    """Objects with versions, conditional updates and waiting for changes."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._changes: dict[str, asyncio.Event] = {}
        self._last_version = 0

    def get(self, name: str) -> StoredObject | Absent:
        """Gives an object as it is now.

        Args:
            name: The object's name.

        Returns:
            The object, or that there is none.
        """
        return self._objects.get(name) or Absent(name)

    def update(
        self, name: str, body: bytes, expected: int | None
    ) -> Written | Conflict:
        """Replaces an object if it has the expected version.

        Args:
            name: The object's name.
            body: The new value.
            expected: The version expected; None for an absent object.

        Returns:
            The new version, or the object that was in the way.
        """
        current = self.get(name)
        version = current.version if isinstance(current, StoredObject) else None
        if version != expected:
            return Conflict(current)
        self._last_version += 1
        self._objects[name] = StoredObject(name, self._last_version, body)
        changed = self._changes.pop(name, None)
        if changed is not None:
            changed.set()
        return Written(self._last_version)

    async def changed(self, name: str, after: int, timeout: float) -> None:
        """Waits until an object has another version than the one known.

        Args:
            name: The object's name.
            after: The version known; 0 for an absent object.
            timeout: The longest time to wait, in seconds.
        """
        current = self.get(name)
        version = current.version if isinstance(current, StoredObject) else 0
        if version != after:
            return
        change = self._changes.setdefault(name, asyncio.Event())
        try:
            async with asyncio.timeout(timeout):
                await change.wait()
        except TimeoutError:
            return
