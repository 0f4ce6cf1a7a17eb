from __future__ import annotations

import asyncio

from balsamway.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

MIN_WAIT_SECONDS = 0.001
"""A watch with less time left than this ends at once."""


class ConfigurationStore:
    """An object store in memory with outages and lost answers to writes."""

    def __init__(self):
        self.objects = {}
        self.is_down = False
        self.lost_writes = {}
        """By object name, what becomes of a write whose answer is lost.

        `applied`, `never`, or the seconds until it is applied.
        """
        self.writes = []
        self._changed = asyncio.Event()

    def put(self, name, body):
        version = self.objects[name].version + 1 if name in self.objects else 1
        self.objects[name] = StoredObject(name, version, body)
        self._changed.set()
        self._changed = asyncio.Event()
        return version

    async def read(self, name):
        await asyncio.sleep(0)
        if self.is_down:
            return Unavailable("down")
        return self.objects.get(name) or Absent(name)

    async def write(self, name, body, expected_version):
        await asyncio.sleep(0)
        self.writes.append(name)
        if self.is_down:
            return Unavailable("down")
        match self.lost_writes.pop(name, None):
            case None:
                return self._apply(name, body, expected_version)
            case "applied":
                self._apply(name, body, expected_version)
            case float(seconds):
                loop = asyncio.get_running_loop()
                loop.call_later(seconds, self._apply, name, body, expected_version)
        return WriteUnknown("lost")

    async def watch(self, name, after_version, timeout_seconds):
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        while True:
            changed = self._changed
            result = await self.read(name)
            if isinstance(result, Unavailable):
                return result
            version = None if isinstance(result, Absent) else result.version
            remaining_seconds = deadline - asyncio.get_running_loop().time()
            if version != after_version or remaining_seconds < MIN_WAIT_SECONDS:
                return result
            try:
                await asyncio.wait_for(changed.wait(), remaining_seconds)
            except TimeoutError:
                continue

    def _apply(self, name, body, expected_version):
        current = self.objects.get(name)
        if (current.version if current else None) != expected_version:
            return Conflict(current or Absent(name))
        return Written(self.put(name, body))
