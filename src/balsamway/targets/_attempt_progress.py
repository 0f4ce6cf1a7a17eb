"""Track whether an attempt may have reached its target."""

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
    """The progress of an attempt. Only the attempt's own task changes it."""

    attempt_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    """The id that distinguishes the attempt from others of its request."""
    may_have_been_written: bool = False
    """Whether a byte of the request may have been written."""


def connection_trace(on_connection_opened: Callable[[], None]) -> aiohttp.TraceConfig:
    """Return a trace that marks an attempt when it gets a connection.

    Args:
        on_connection_opened: Called for each connection that was opened.

    Returns:
        The trace, for a session whose requests carry an `AttemptProgress`.
    """

    async def _on_connection_create_end(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        on_connection_opened()
        _mark_written(context)

    async def _on_connection_reuseconn(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        _mark_written(context)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_connection_create_end)
    trace.on_connection_reuseconn.append(_on_connection_reuseconn)
    return trace


def _mark_written(context: SimpleNamespace) -> None:
    progress = context.trace_request_ctx
    if progress is not None:
        progress.may_have_been_written = True
