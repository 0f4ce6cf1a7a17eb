from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class DeferredCall:
    """An event loop callback that belongs to a process."""

    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: contextvars.Context
    handle: asyncio.Handle | None = None


class Process:
    """A simulated process that shares an event loop with others.

    Its callbacks are deferred while it is paused, as with SIGSTOP. They never
    run again once it is lost, as with SIGKILL. The clock keeps running.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.lost = False
        self._deferred: list[DeferredCall] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        context = contextvars.Context()
        context.run(PROCESS.set, self)
        return asyncio.get_running_loop().create_task(work, context=context)

    def run(self, call: DeferredCall) -> None:
        if self.lost:
            return
        if self.paused:
            self._deferred.append(call)
            return
        call.callback(*call.args)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        deferred, self._deferred = self._deferred, []
        loop = asyncio.get_running_loop()
        for call in deferred:
            if call.handle is None or not call.handle.cancelled():
                loop.call_soon(call.callback, *call.args, context=call.context)

    def lose(self) -> None:
        self.lost = True
        self._deferred.clear()


PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")


def start_outside(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start work that belongs to no process, such as a message in transit."""
    return asyncio.get_running_loop().create_task(work, context=contextvars.Context())
