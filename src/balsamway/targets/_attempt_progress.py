"""Whether an attempt may have reached its target."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace


@dataclass(slots=True)
class AttemptProgress:
    """How far an attempt has come; its own task alone changes it."""

    attempt_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    """Tells the attempt from others of the same request."""
    has_connection: bool = False
    """Whether a byte of the request may have been written."""


def progress_trace(on_open: Callable[[], None]) -> aiohttp.TraceConfig:
    """Makes the trace that marks an attempt when it gets a connection.

    Args:
        on_open: Called for each connection that was opened.

    Returns:
        The trace, for a session whose requests carry an `AttemptProgress`.
    """

    async def _on_connection_create_end(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        on_open()
        _mark(context)

    async def _on_connection_reuseconn(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        _mark(context)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_connection_create_end)
    trace.on_connection_reuseconn.append(_on_connection_reuseconn)
    return trace


def _mark(context: SimpleNamespace) -> None:
    progress = context.trace_request_ctx
    if progress is not None:
        progress.has_connection = True
