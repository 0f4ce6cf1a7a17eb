"""Judges the answer of a target to an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.targets import header_names

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.targets.request import TargetRequest

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

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

_NOT_PASSED_ON = frozenset(
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


async def judge_answer(
    response: aiohttp.ClientResponse, request: TargetRequest
) -> Verdict:
    """Reads a target's answer whole and gives the verdict on the attempt.

    Args:
        response: The answer, of which the head has been received.
        request: The attempt that it should answer.

    Returns:
        The verdict; `MayHaveRun` for every answer that cannot be trusted.
    """
    if response.headers.get(header_names.REQUEST_ID) != request.request_id:
        return MayHaveRun(Reason.ANSWER_MISMATCHED)
    match response.headers.get(header_names.VERDICT):
        case "completed":
            return await _read_completed(response)
        case "not-run":
            return _judge_refusal(response)
    return MayHaveRun(Reason.TARGET_ERROR, f"status {response.status}")


async def _read_completed(response: aiohttp.ClientResponse) -> Verdict:
    length = response.content_length
    if length is None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, "the answer has no length")
    if length > ANSWER_LIMIT_BYTES:
        return MayHaveRun(Reason.TARGET_ERROR, "the answer is too large")
    try:
        body = await response.read()
    except aiohttp.ClientPayloadError:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    if len(body) != length:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    return Completed(response.status, _headers_to_pass_on(response), body)


def _judge_refusal(response: aiohttp.ClientResponse) -> Verdict:
    text = response.headers.get(header_names.REASON, "")
    if text not in REFUSAL_REASONS:
        return MayHaveRun(Reason.TARGET_ERROR, "the refusal gives no known reason")
    return NotRun(Reason(text), retry_after_seconds=_retry_after(response))


def _retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return max(0.0, float(response.headers[header_names.RETRY_AFTER]))
    except (KeyError, ValueError):
        return None


def _headers_to_pass_on(response: aiohttp.ClientResponse) -> dict[str, str]:
    return {
        name: value
        for name, value in response.headers.items()
        if name.lower() not in _NOT_PASSED_ON
        and not name.lower().startswith("balsamway-")
    }
