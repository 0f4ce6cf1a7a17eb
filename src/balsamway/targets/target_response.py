"""Parse the response of a target to an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.targets import header_names
from balsamway.targets.status_codes import is_final

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.targets.request import TargetRequest

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""The maximum size of a response body."""

REFUSAL_REASONS = frozenset(
    {
        Reason.TARGET_SHED,
        Reason.TARGET_DRAINING,
        Reason.WRONG_EPOCH,
        Reason.GRANT_LAPSED,
        Reason.DEADLINE_EXCEEDED,
        Reason.CANCELLED,
    }
)
"""The reasons that a target may give for a refusal."""

_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


async def parse_response(
    response: aiohttp.ClientResponse, request: TargetRequest
) -> Verdict:
    """Read a target's whole response and return the verdict on the attempt.

    Args:
        response: The response. Its head has been received.
        request: The attempt that it should respond to.

    Returns:
        The verdict. It is `MayHaveRun` for a response that cannot be trusted.
    """
    if response.headers.get(header_names.REQUEST_ID) != request.request_id:
        return MayHaveRun(Reason.ANSWER_MISMATCHED)
    if not is_final(response.status):
        return MayHaveRun(
            Reason.TARGET_ERROR, f"the status {response.status:03} is invalid"
        )
    match response.headers.get(header_names.VERDICT):
        case "completed":
            return await _read_completed(response)
        case "not-run":
            return _parse_refusal(response)
    return MayHaveRun(Reason.TARGET_ERROR, f"status {response.status}")


async def _read_completed(response: aiohttp.ClientResponse) -> Verdict:
    length = response.content_length
    if length is None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, "the answer has no length")
    if length > MAX_RESPONSE_BYTES:
        return MayHaveRun(Reason.TARGET_ERROR, "the answer is too large")
    try:
        body = await response.read()
    except aiohttp.ClientPayloadError:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    if len(body) != length:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    return Completed(response.status, _headers_to_forward(response), body)


def _parse_refusal(response: aiohttp.ClientResponse) -> Verdict:
    text = response.headers.get(header_names.REASON, "")
    if text not in REFUSAL_REASONS:
        return MayHaveRun(Reason.TARGET_ERROR, "the refusal gives no known reason")
    return NotRun(Reason(text), retry_after_seconds=_retry_after(response))


def _retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return max(0.0, float(response.headers[header_names.RETRY_AFTER]))
    except (KeyError, ValueError):
        return None


def _headers_to_forward(response: aiohttp.ClientResponse) -> dict[str, str]:
    return {
        name: value
        for name, value in response.headers.items()
        if name.lower() not in _NOT_FORWARDED_HEADERS
        and not name.lower().startswith("balsamway-")
    }
