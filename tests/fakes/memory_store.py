"""An object store in memory, with the faults that a test requests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field, replace

from balsamway.store.era import era_of, revision_of, version_of
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
    era: int = 0
    """The number of restores plus one; 0 for a store that never says it."""

    @property
    def version(self):
        return version_of(self.era, self.revision)

    def put(self, kind, name, body):
        self.revision += 1
        self.objects[(kind, name)] = StoredObject(name, self.version, body)
        self.history.append((self.revision, kind, name, False))
        return self.version

    def copy(self):
        """Return a copy to which `restore` can go back."""
        return (dict(self.objects), self.revision, list(self.history))

    def restore(self, copy):
        """Lose what was written since a copy, and begin the next era."""
        objects, self.revision, history = copy
        self.era += 1
        self.history = list(history)
        self.objects = {
            key: replace(
                stored, version=version_of(self.era, revision_of(stored.version))
            )
            for key, stored in objects.items()
        }

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
        return Listing(listed, self.version)

    async def watch(self, kind, after_revision, wait_seconds):
        await self._call()
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if self.down:
                return Unavailable("down")
            after = revision_of(after_revision)
            if era_of(after_revision) != self.era or after < self.forgotten:
                return HistoryGone()
            changes = [change for change in self.history if change[0] > after]
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
                return Changes(changed, removed, self.version)
            await asyncio.sleep(0.01)

    async def read(self, kind, name, allow_stale=False):
        await self._call()
        if self.down:
            return Unavailable("down")
        return self.objects.get((kind, name)) or Absent(name, self.era)

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
        # Like the platform's store, it compares revisions without their era.
        found = revision_of(current.version) if current else None
        expected = None if expected_version is None else revision_of(expected_version)
        if found != expected:
            return Conflict(current or Absent(name, self.era))
        self.writes.append((kind, name, body))
        return Written(self.put(kind, name, body))

    async def _call(self):
        self.calls += 1
        await asyncio.sleep(CALL_LATENCY_SECONDS)
