"""Drops a connection without a response."""

from __future__ import annotations

from typing import NoReturn

from aiohttp import web


def drop_connection(request: web.Request) -> NoReturn:
    """Abort the connection of a request so that no response is sent.

    Args:
        request: The request whose connection is dropped.

    Raises:
        web.HTTPServiceUnavailable: Always; the connection is already closed,
            so the caller does not receive it.
    """
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable
