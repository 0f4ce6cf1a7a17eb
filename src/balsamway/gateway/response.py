"""Build the HTTP response to a caller from the verdict on its request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, assert_never

import msgspec
from aiohttp import web

from balsamway.outcome import Completed, MayHaveRun, NotRun
from balsamway.outcome.status import status_of
from balsamway.targets import header_names

if TYPE_CHECKING:
    from balsamway.outcome import Verdict


def build_response(verdict: Verdict, request_id: str) -> web.Response:
    """Build the response that carries a verdict to the caller.

    Args:
        verdict: The verdict on the request.
        request_id: The request's id.

    Returns:
        The target's response if there is one, else a response whose body
        names the verdict and its reason.
    """
    match verdict:
        case Completed():
            return _completed(verdict, request_id)
        case NotRun():
            return _not_completed(verdict, "not-run", request_id)
        case MayHaveRun():
            return _not_completed(verdict, "may-have-run", request_id)
    assert_never(verdict)


def _completed(verdict: Completed, request_id: str) -> web.Response:
    headers = dict(verdict.headers)
    headers[header_names.REQUEST_ID] = request_id
    headers[header_names.VERDICT] = "completed"
    return web.Response(status=verdict.status, headers=headers, body=verdict.body)


def _not_completed(
    verdict: NotRun | MayHaveRun, name: str, request_id: str
) -> web.Response:
    headers = {
        header_names.REQUEST_ID: request_id,
        header_names.VERDICT: name,
        header_names.REASON: verdict.reason,
        "Content-Type": "application/json",
    }
    if isinstance(verdict, NotRun) and verdict.retry_after_seconds is not None:
        headers[header_names.RETRY_AFTER] = str(math.ceil(verdict.retry_after_seconds))
    body = msgspec.json.encode(
        {
            "verdict": name,
            "reason": verdict.reason,
            "detail": verdict.detail,
            "request_id": request_id,
        }
    )
    return web.Response(status=status_of(verdict), headers=headers, body=body)
