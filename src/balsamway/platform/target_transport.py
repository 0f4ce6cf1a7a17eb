"""Sends attempts to the platform's targets and judges their answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.entry.hop_headers import end_to_end_headers
from balsamway.exchange import HttpRequest, NotSent, ResponseLost
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.platform import names

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.exchange import ConnectionPool, HttpResponse

ACQUIRE_SECONDS = 0.5
"""The longest wait for a connection; meanwhile the target may begin to drain,
and must get nothing new two seconds after that."""


class PlatformTargetTransport:
    """Implements `TargetTransport` with the platform's header names."""

    async def send(
        self,
        pool: ConnectionPool,
        target: TargetEntry,
        request: EntryRequest,
        timeout_seconds: float,
    ) -> AttemptResult:
        """Sends one attempt; see `TargetTransport`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        try:
            async with asyncio.timeout(min(timeout_seconds, ACQUIRE_SECONDS)):
                connection = await pool.acquire()
        except TimeoutError:
            refusal = NotRun(Reason.OVERLOADED, "no free connection to the target")
            return AttemptResult(refusal, AttemptOutcome.TIMED_OUT)
        if isinstance(connection, NotSent):
            refusal = NotRun(Reason.CONNECT_FAILED, connection.reason)
            return AttemptResult(refusal, AttemptOutcome.UNREACHABLE)
        try:
            async with asyncio.timeout_at(deadline):
                answer = await connection.exchange(
                    _http_request(request, target, deadline - loop.time())
                )
        except TimeoutError:
            late = MayHaveRun(Reason.DEADLINE_EXCEEDED)
            return AttemptResult(late, AttemptOutcome.TIMED_OUT)
        finally:
            pool.release(connection)
        match answer:
            case NotSent(reason=reason):
                refusal = NotRun(Reason.CONNECT_FAILED, reason)
                return AttemptResult(refusal, AttemptOutcome.STALE_CONNECTION)
            case ResponseLost(reason=reason):
                lost = MayHaveRun(Reason.CONNECTION_LOST, reason)
                return AttemptResult(lost, AttemptOutcome.CONNECTION_LOST)
            case _:
                return _judge(answer, target)


def _http_request(
    request: EntryRequest, target: TargetEntry, seconds_left: float
) -> HttpRequest:
    left_ms = max(1, int(seconds_left * 1000))
    headers = (
        *request.headers,
        (names.DEADLINE.encode(), b"%d" % left_ms),
        (names.TARGET.encode(), target.name.encode()),
    )
    return HttpRequest(
        request.method, request.path, headers, request.body, request.request_id
    )


def _judge(answer: HttpResponse, target: TargetEntry) -> AttemptResult:
    headers = answer.headers
    if answer.status == 421 and headers.get(names.ANSWERED_BY, target.name) != (
        target.name
    ):
        refusal = NotRun(Reason.NO_TARGET, f"{headers[names.ANSWERED_BY]} is there")
        return AttemptResult(refusal, AttemptOutcome.WRONG_TARGET)
    if names.REQUEST_ID not in headers:
        return _untrusted(Reason.ANSWER_MISMATCHED, "the answer names no request")
    if answer.status == 421 or names.NOT_EXECUTED in headers:
        return _judge_refusal(answer)
    if "Content-Encoding" in headers:
        return _untrusted(Reason.ANSWER_MISMATCHED, "the answer is encoded")
    if answer.status < 300 and names.SIGNATURE not in headers:
        return _untrusted(Reason.ANSWER_MISMATCHED, "the answer is not signed")
    kept = end_to_end_headers(
        (name.encode(), value.encode(errors="surrogateescape"))
        for name, value in headers.items()
    )
    passed = {
        name.decode(): value.decode(errors="surrogateescape") for name, value in kept
    }
    outcome = AttemptOutcome.SERVED if answer.status < 500 else AttemptOutcome.FAILED
    return AttemptResult(Completed(answer.status, passed, answer.body), outcome)


def _judge_refusal(answer: HttpResponse) -> AttemptResult:
    if answer.status == 421:
        return AttemptResult(NotRun(Reason.NO_OWNER), AttemptOutcome.KEY_NOT_HELD)
    if answer.status in (429, 503):
        return AttemptResult(NotRun(Reason.TARGET_SHED), AttemptOutcome.SHED)
    refusal = NotRun(Reason.BAD_REQUEST, f"the target answered {answer.status}")
    return AttemptResult(refusal, AttemptOutcome.FAILED)


def _untrusted(reason: Reason, detail: str) -> AttemptResult:
    return AttemptResult(MayHaveRun(reason, detail), AttemptOutcome.CONNECTION_LOST)
