"""Read the body of a caller's request within its limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.request_head import RequestHead


async def read_body(request: web.BaseRequest, head: RequestHead) -> bytes | NotRun:
    """Read a whole body, up to the size limit of its kind and the deadline.

    Args:
        request: The request. Its head has been read.
        head: The request's head.

    Returns:
        The body, or the reason why the request is refused. The rest of a
        refused body stays unread, so the connection must be closed.
    """
    limit = head.kind.body_limit_bytes
    too_large = NotRun(Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes")
    if (request.content_length or 0) > limit:
        return too_large
    if not request.body_exists:
        return b""
    parts: list[bytes] = []
    size = 0
    try:
        if request.content.is_eof():
            body = request.content.read_nowait()
            return body if len(body) <= limit else too_large
        async with asyncio.timeout_at(head.deadline):
            while chunk := await request.content.readany():
                size += len(chunk)
                if size > limit:
                    return too_large
                parts.append(chunk)
    except TimeoutError:
        return NotRun(Reason.DEADLINE_EXCEEDED, "the body did not arrive in time")
    except web.RequestPayloadError:
        return NotRun(Reason.BAD_REQUEST, "the body is malformed")
    return b"".join(parts)
