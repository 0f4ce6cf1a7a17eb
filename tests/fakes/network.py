from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from balsamway.peers.codec import Frame, encode
from balsamway.peers.peers import Handler, PeerFailure
from tests.fakes.call_outcome import CallOutcome
from tests.fakes.faults import Faults
from tests.fakes.step import Step


class FakeNetwork:
    """The network between entry hosts; `peers` returns the end of one host."""

    def __init__(self, faults: Faults, latency_seconds: float = 0.001) -> None:
        self.faults = faults
        self.latency_seconds = latency_seconds
        self.down: set[str] = set()
        """Hosts that neither send nor receive."""
        self.cut: set[frozenset[str]] = set()
        """Pairs of hosts that cannot reach each other."""
        self.messages = 0
        self._ends: dict[str, FakePeers] = {}

    def peers(self, host: str) -> FakePeers:
        """Create the end of a host and replace its earlier one, if any."""
        end = FakePeers(self, host)
        self._ends[host] = end
        return end

    def end(self, host: str) -> FakePeers | None:
        return self._ends.get(host)

    def connected(self, source: str, target: str) -> bool:
        if source in self.down or target in self.down:
            return False
        return source == target or frozenset((source, target)) not in self.cut

    def partition(self, group: set[str], others: set[str]) -> None:
        self.cut |= {frozenset((host, other)) for host in group for other in others}

    def heal(self) -> None:
        self.cut.clear()


class FakePeers:
    """One host's end of the fake network."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self._network = network
        self._host = host
        self._handlers: dict[type, Handler] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def register_handler(self, message_type: type, handler: Handler) -> None:
        self._handlers[message_type] = handler

    async def call(self, host: str, message: Any, timeout_seconds: float) -> Any:
        encode(Frame(1, False, message))
        try:
            return await asyncio.wait_for(
                self._send_with_faults(host, message), timeout_seconds
            )
        except TimeoutError:
            return PeerFailure("timeout")

    def send(self, host: str, message: Any) -> None:
        self._run_in_background(self.call(host, message, 5.0))

    async def _send_with_faults(self, host: str, message: Any) -> Any:
        step = Step("peers", type(message).__name__, self._host, host, message)
        outcome = await self._network.faults.reach(step)
        if outcome is CallOutcome.APPLY_LATE:
            self._start(self._deliver_late(host, message))
        if outcome in (CallOutcome.DROP, CallOutcome.APPLY_LATE):
            await asyncio.sleep(3600)
        response = await asyncio.shield(self._start(self._deliver(host, message)))
        if outcome is CallOutcome.DOUBLE:
            self._start(self._deliver_late(host, message))
        if outcome is CallOutcome.LOSE_ANSWER:
            await asyncio.sleep(3600)
        return response

    async def _deliver_late(self, host: str, message: Any) -> None:
        await asyncio.sleep(self._network.faults.late_seconds)
        await self._deliver(host, message)

    async def _deliver(self, host: str, message: Any) -> Any:
        await asyncio.sleep(self._network.latency_seconds)
        if host != self._host and host in self._network.down:
            return PeerFailure("connection refused")
        if not self._network.connected(self._host, host):
            await asyncio.sleep(3600)
        end = self._network.end(host)
        handler = end._handlers.get(type(message)) if end else None
        if handler is None:
            return PeerFailure("no handler")
        self._network.messages += 1
        response = await handler(self._host, message)
        await asyncio.sleep(self._network.latency_seconds)
        if not self._network.connected(self._host, host):
            await asyncio.sleep(3600)
        if response is not None:
            encode(Frame(1, True, response))
        return response

    def _run_in_background(self, coroutine: Any) -> None:
        self._track(asyncio.create_task(coroutine))

    def _start(self, coroutine: Any) -> asyncio.Task[Any]:
        # Use an empty context: a message in flight arrives even if its sender
        # has ended.
        return self._track(
            asyncio.create_task(coroutine, context=contextvars.Context())
        )

    def _track(self, task: asyncio.Task[Any]) -> asyncio.Task[Any]:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
