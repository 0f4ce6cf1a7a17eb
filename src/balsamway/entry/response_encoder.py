"""Encodes responses to callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from balsamway.outcome import Completed, NotRun
from balsamway.outcome.status import status_of
from balsamway.targets import header_names

if TYPE_CHECKING:
    from balsamway.outcome import Verdict

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


def encode_response(
    verdict: Verdict, request_id: str | None, method: str, closes_connection: bool
) -> bytes:
    """Encode the response to a request.

    Args:
        verdict: The verdict on the request.
        request_id: The request's id, or None if it has none.
        method: The request's method.
        closes_connection: Whether the connection is closed after the response.

    Returns:
        The bytes of the response, head and body.
    """
    status = status_of(verdict)
    headers, body = _headers_and_body(verdict, request_id)
    lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if status not in _STATUSES_WITHOUT_BODY and method != "HEAD":
        lines.append(f"Content-Length: {len(body)}")
    if closes_connection:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n"
    return head if method == "HEAD" or status in _STATUSES_WITHOUT_BODY else head + body


def _headers_and_body(
    verdict: Verdict, request_id: str | None
) -> tuple[list[tuple[str, str]], bytes]:
    if isinstance(verdict, Completed):
        return list(verdict.headers.items()), verdict.body
    headers = [("Content-Type", "application/json")]
    if request_id is not None:
        headers.append((header_names.REQUEST_ID, request_id))
    if isinstance(verdict, NotRun) and verdict.retry_after_seconds is not None:
        headers.append((header_names.RETRY_AFTER, f"{verdict.retry_after_seconds:.3f}"))
    body = msgspec.json.encode({"reason": verdict.reason, "detail": verdict.detail})
    return headers, body


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
