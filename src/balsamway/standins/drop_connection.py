"""Ends a connection without an answer."""

from __future__ import annotations

from typing import NoReturn

from aiohttp import web


def drop_connection(request: web.Request) -> NoReturn:
    """Aborts the connection of a request, so that no answer is sent.

    Args:
        request: The request to leave unanswered.

    Raises:
        web.HTTPServiceUnavailable: Always; it is written to a connection that
            is closed, and so reaches nobody.
    """
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable
