"""An object store in memory, with the faults that a test requests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

CALL_LATENCY_SECONDS = 0.004
"""Time that each call to the store takes."""


@dataclass
class MemoryStore:
    """Implements `ObjectStore`; several hosts can share one."""

    objects: dict = field(default_factory=dict)
    revision: int = 1
    down: bool = False
    write_fates: deque = field(default_factory=deque)
    """Faults of the coming writes.

    None, `lost`, `refused` or `("late", seconds)`.
    """
    writes: list = field(default_factory=list)
    history: list = field(default_factory=list)
    """Each change as revision, kind, name, and whether it is a deletion."""
    forgotten: int = 0
    """A watch from a revision below this gets `HistoryGone`."""
    calls: int = 0

    def put(self, kind, name, body):
        self.revision += 1
        self.objects[(kind, name)] = StoredObject(name, self.revision, body)
        self.history.append((self.revision, kind, name, False))
        return self.revision

    def delete(self, kind, name):
        self.revision += 1
        del self.objects[(kind, name)]
        self.history.append((self.revision, kind, name, True))

    async def list(self, kind):
        await self._call()
        if self.down:
            return Unavailable("down")
        listed = tuple(
            stored for (key, _), stored in self.objects.items() if key == kind
        )
        return Listing(listed, self.revision)

    async def watch(self, kind, after_revision, wait_seconds):
        await self._call()
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if self.down:
                return Unavailable("down")
            if after_revision < self.forgotten:
                return HistoryGone()
            changes = [change for change in self.history if change[0] > after_revision]
            changes = [change for change in changes if change[1] == kind]
            if changes or asyncio.get_running_loop().time() >= deadline:
                removed = tuple(
                    name for _, _, name, is_deleted in changes if is_deleted
                )
                names = {name for _, _, name, is_deleted in changes if not is_deleted}
                changed = tuple(
                    self.objects[(kind, name)]
                    for name in names
                    if (kind, name) in self.objects
                )
                return Changes(changed, removed, self.revision)
            await asyncio.sleep(0.01)

    async def read(self, kind, name, allow_stale=False):
        await self._call()
        if self.down:
            return Unavailable("down")
        return self.objects.get((kind, name)) or Absent(name)

    async def write(self, kind, name, body, expected_version):
        await self._call()
        if self.down:
            return Unavailable("down")
        fault = self.write_fates.popleft() if self.write_fates else None
        match fault:
            case "refused":
                return Unavailable("refused")
            case ("late", seconds):
                asyncio.get_running_loop().call_later(
                    seconds, self._apply, kind, name, body, expected_version
                )
                return WriteUnknown("no answer")
            case "lost":
                self._apply(kind, name, body, expected_version)
                return WriteUnknown("no answer")
            case _:
                return self._apply(kind, name, body, expected_version)

    def _apply(self, kind, name, body, expected_version):
        current = self.objects.get((kind, name))
        if (current.version if current else None) != expected_version:
            return Conflict(current or Absent(name))
        self.writes.append((kind, name, body))
        return Written(self.put(kind, name, body))

    async def _call(self):
        self.calls += 1
        await asyncio.sleep(CALL_LATENCY_SECONDS)
