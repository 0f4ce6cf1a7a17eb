from __future__ import annotations

import asyncio
import contextvars
from typing import Any

import looptime

from tests.matrix.process import PROCESS, DeferredCall

_BaseLoop: Any = looptime.make_event_loop_class(asyncio.SelectorEventLoop)


class ProcessLoop(_BaseLoop):
    """An event loop with simulated time whose tasks belong to processes."""

    def create_task(self, coro, *, name=None, context=None):
        task = super().create_task(coro, name=name, context=context)
        task._log_destroy_pending = False
        return task

    def call_soon(self, callback, *args, context=None):
        if self.is_closed():
            # Coroutines of lost processes are collected after the loop closes.
            return asyncio.Handle(callback, args, self, context)
        if context is None:
            context = contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        call = DeferredCall(callback, args, context)
        call.handle = super().call_soon(process.run, call, context=context)
        return call.handle

    def call_at(self, when, callback, *args, context=None):
        if context is None:
            context = contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        call = DeferredCall(callback, args, context)
        call.handle = super().call_at(when, process.run, call, context=context)
        return call.handle
