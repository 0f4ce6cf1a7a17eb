from __future__ import annotations

import asyncio
import contextvars
from collections import Counter

from balsamway.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from balsamway.store.store import ReadResult, WriteResult
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.faults import Faults
from tests.fakes.step import Step


class FakeStore:
    """The platform's store, shared by all hosts.

    `client` returns the access of one host.
    """

    def __init__(self, faults: Faults, latency_seconds: float = 0.002) -> None:
        self.faults = faults
        self.latency_seconds = latency_seconds
        self.objects: dict[str, StoredObject] = {}
        self.outage = False
        self.cut_hosts: set[str] = set()
        self.counts: Counter[str] = Counter()
        """Calls of `read`, `write` and `watch`, including failed ones."""
        self.history: list[StoredObject] = []
        self._changes: dict[str, asyncio.Event] = {}

    def client(self, host: str) -> FakeStoreClient:
        return FakeStoreClient(self, host)

    def current(self, name: str) -> StoredObject | Absent:
        return self.objects.get(name) or Absent(name)

    async def apply(self, name: str, body: bytes, expected: int | None) -> WriteResult:
        current = self.objects.get(name)
        if (current.version if current else None) != expected:
            return Conflict(self.current(name))
        written = StoredObject(name, (expected or 0) + 1, body)
        self.objects[name] = written
        self.history.append(written)
        changed = self._changes.pop(name, None)
        if changed is not None:
            changed.set()
        return Written(written.version)

    async def wait_for_change(
        self, name: str, after: int | None, timeout: float
    ) -> None:
        current = self.objects.get(name)
        if (current.version if current else None) != after:
            return
        change = self._changes.setdefault(name, asyncio.Event())
        try:
            await asyncio.wait_for(change.wait(), timeout)
        except TimeoutError:
            return

    def reachable(self, host: str) -> bool:
        return not self.outage and host not in self.cut_hosts


class FakeStoreClient:
    """One host's access to the fake store."""

    def __init__(self, store: FakeStore, host: str) -> None:
        self._store = store
        self._host = host
        self._late: set[asyncio.Task[None]] = set()

    async def read(self, name: str) -> ReadResult:
        return await self._read_with_faults("read", name)

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        outcome = await self._inject_fault("watch", name, None)
        if outcome is not CallOutcome.PASS or not self._store.reachable(self._host):
            return Unavailable("outage")
        await self._store.wait_for_change(name, after_version, timeout_seconds)
        if not self._store.reachable(self._host):
            return Unavailable("outage")
        return self._store.current(name)

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        outcome = await self._inject_fault("write", name, body)
        if outcome is CallOutcome.DROP or not self._store.reachable(self._host):
            return Unavailable("outage")
        if outcome is CallOutcome.APPLY_LATE:
            self._apply_later(name, body, expected_version)
            return WriteUnknown("no answer")
        if outcome is CallOutcome.CONFLICT:
            return await self._conflict(name)
        result = await self._store.apply(name, body, expected_version)
        if outcome is CallOutcome.LOSE_ANSWER:
            return WriteUnknown("no answer")
        if outcome is CallOutcome.DOUBLE:
            self._apply_later(name, body, expected_version)
        return result

    async def _inject_fault(
        self, operation: str, name: str, detail: bytes | None
    ) -> CallOutcome:
        self._store.counts[operation] += 1
        step = Step("store", operation, self._host, name, detail)
        outcome = await self._store.faults.reach(step)
        await asyncio.sleep(self._store.latency_seconds)
        return outcome

    async def _read_with_faults(self, operation: str, name: str) -> ReadResult:
        outcome = await self._inject_fault(operation, name, None)
        if outcome not in (CallOutcome.PASS, CallOutcome.DOUBLE):
            return Unavailable("no answer")
        if not self._store.reachable(self._host):
            return Unavailable("outage")
        return self._store.current(name)

    async def _conflict(self, name: str) -> WriteResult:
        current = self._store.objects.get(name)
        if current is not None:
            await self._store.apply(name, current.body, current.version)
        return Conflict(self._store.current(name))

    def _apply_later(self, name: str, body: bytes, expected: int | None) -> None:
        async def apply() -> None:
            await asyncio.sleep(self._store.faults.late_seconds)
            await self._store.apply(name, body, expected)

        # Use an empty context: the store applies the write even if the caller
        # has ended.
        task = asyncio.create_task(apply(), context=contextvars.Context())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
