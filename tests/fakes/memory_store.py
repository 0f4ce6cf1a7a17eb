"""An object store in memory, with the faults that a test asks for."""

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

CALL_SECONDS = 0.004


@dataclass
class MemoryStore:
    """Implements `ObjectStore`; several hosts share one."""

    objects: dict = field(default_factory=dict)
    revision: int = 1
    down: bool = False
    write_fates: deque = field(default_factory=deque)
    """For each coming write `lost`, `refused`, `("late", seconds)`, None."""
    writes: list = field(default_factory=list)
    history: list = field(default_factory=list)
    forgotten: int = 0
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
        found = tuple(one for (k, _), one in self.objects.items() if k == kind)
        return Listing(found, self.revision)

    async def watch(self, kind, after_revision, wait_seconds):
        await self._call()
        until = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if self.down:
                return Unavailable("down")
            if after_revision < self.forgotten:
                return HistoryGone()
            found = [one for one in self.history if one[0] > after_revision]
            found = [one for one in found if one[1] == kind]
            if found or asyncio.get_running_loop().time() >= until:
                removed = tuple(n for _, _, n, gone in found if gone)
                names = {n for _, _, n, gone in found if not gone}
                changed = tuple(
                    self.objects[(kind, n)] for n in names if (kind, n) in self.objects
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
        fate = self.write_fates.popleft() if self.write_fates else None
        match fate:
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
        await asyncio.sleep(CALL_SECONDS)
