from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class HeldCall:
    """A callback of the event loop that a paused process has not run."""

    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: contextvars.Context
    handle: asyncio.Handle | None = None


class Process:
    """One process among others on the same event loop.

    Its callbacks stand still while it is paused, as with SIGSTOP, and never
    run again once it is lost, as with SIGKILL. The clock goes on.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.lost = False
        self._held: list[HeldCall] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        context = contextvars.Context()
        context.run(PROCESS.set, self)
        return asyncio.get_running_loop().create_task(work, context=context)

    def run(self, call: HeldCall) -> None:
        if self.lost:
            return
        if self.paused:
            self._held.append(call)
            return
        call.callback(*call.args)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        loop = asyncio.get_running_loop()
        for call in held:
            if call.handle is None or not call.handle.cancelled():
                loop.call_soon(call.callback, *call.args, context=call.context)

    def lose(self) -> None:
        self.lost = True
        self._held.clear()


PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")


def start_outside(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Starts work that belongs to no process, such as a message in flight."""
    return asyncio.get_running_loop().create_task(work, context=contextvars.Context())
