"""Send attempts to the platform's targets and evaluate the responses."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.entry.hop_headers import end_to_end_headers
from balsamway.exchange import HttpRequest, NotSent, ResponseLost
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.attempt_sender import send_attempt
from balsamway.limits import NamedLimit, NoLimit, UnreadableLimit
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.platform import names
from balsamway.platform.target_notices import decode_leaving, decode_load, decode_rest

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.exchange import ConnectionPool, HttpResponse
    from balsamway.limits import LimitAnswer

DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
"""A limit in requests per second."""


class PlatformTargetTransport:
    """Send attempts to targets; implements `TargetTransport`."""

    async def send(
        self,
        pool: ConnectionPool,
        target: TargetEntry,
        request: EntryRequest,
        timeout_seconds: float,
    ) -> AttemptResult:
        """Send one attempt; see `TargetTransport.send`."""
        return await send_attempt(
            pool,
            timeout_seconds,
            lambda remaining_seconds: _http_request(request, target, remaining_seconds),
            lambda response, is_first: _evaluate(response, target, is_first),
        )


def _evaluate(
    response: HttpResponse | ResponseLost | NotSent,
    target: TargetEntry,
    is_first_on_connection: bool,
) -> AttemptResult:
    match response:
        case NotSent(reason=reason):
            refusal = NotRun(Reason.CONNECT_FAILED, reason)
            return AttemptResult(refusal, AttemptOutcome.STALE_CONNECTION)
        case ResponseLost(reason=reason):
            lost = MayHaveRun(Reason.CONNECTION_LOST, reason)
            return AttemptResult(lost, AttemptOutcome.CONNECTION_LOST)
        case _:
            result = _evaluate_response(response, target, is_first_on_connection)
            if not _is_from_target(response, result):
                return result
            return replace(
                result,
                limit=_limit_answer(response, result),
                is_leaving=decode_leaving(response.headers),
                rest=decode_rest(response.status, response.headers),
                load=decode_load(response.headers),
            )


def _http_request(
    request: EntryRequest, target: TargetEntry, remaining_seconds: float
) -> HttpRequest:
    remaining_ms = max(1, int(remaining_seconds * 1000))
    headers = (
        *request.headers,
        (names.DEADLINE_HEADER.encode(), b"%d" % remaining_ms),
        (names.TARGET_HEADER.encode(), target.name.encode()),
    )
    return HttpRequest(
        request.method, request.path, headers, request.body, request.request_id
    )


def _evaluate_response(
    response: HttpResponse, target: TargetEntry, is_first_on_connection: bool
) -> AttemptResult:
    """Derive the result of an attempt from the target's response.

    A response is trusted only if it names the request: it may say that the
    request was not executed. Another target that has the address now may name
    none; a connection that was used before may bring an earlier refusal, so
    that is trusted on a new one alone. A response that is passed on must not
    be encoded, and must be signed if it reports success.
    """
    headers = response.headers
    is_other_target = response.status == 421 and (
        headers.get(names.ANSWERED_BY_HEADER, target.name) != target.name
    )
    if is_other_target and (
        is_first_on_connection or names.REQUEST_ID_HEADER in headers
    ):
        refusal = NotRun(
            Reason.NO_TARGET, f"{headers[names.ANSWERED_BY_HEADER]} is there"
        )
        return AttemptResult(refusal, AttemptOutcome.WRONG_TARGET)
    if names.REQUEST_ID_HEADER not in headers:
        return _untrusted_response(
            Reason.ANSWER_MISMATCHED, "the answer names no request"
        )
    if response.status == 421 or names.NOT_EXECUTED_HEADER in headers:
        return _evaluate_refusal(response)
    if "Content-Encoding" in headers:
        return _untrusted_response(Reason.ANSWER_MISMATCHED, "the answer is encoded")
    if response.status < 300 and names.SIGNATURE_HEADER not in headers:
        return _untrusted_response(Reason.ANSWER_MISMATCHED, "the answer is not signed")
    end_to_end_pairs = end_to_end_headers(
        (name.encode(), value.encode(errors="surrogateescape"))
        for name, value in headers.items()
    )
    passed_headers = {
        name.decode(): value.decode(errors="surrogateescape")
        for name, value in end_to_end_pairs
    }
    outcome = AttemptOutcome.SERVED if response.status < 500 else AttemptOutcome.FAILED
    return AttemptResult(
        Completed(response.status, passed_headers, response.body), outcome
    )


def _is_from_target(response: HttpResponse, result: AttemptResult) -> bool:
    """Return whether the target itself is known to have sent the response."""
    if result.outcome is AttemptOutcome.WRONG_TARGET:
        return False
    return names.REQUEST_ID_HEADER in response.headers


def _limit_answer(response: HttpResponse, result: AttemptResult) -> LimitAnswer | None:
    """Return what a target's response says about its limit.

    Only a success shows that there is no limit: other responses may have been
    created before the target decides on one. Of several values the lowest
    counts.

    Returns:
        The limit, or None if the response says nothing about it.
    """
    texts = [
        text.strip()
        for value in response.headers.getall(names.LIMIT_HEADER, ())
        for text in value.split(",")
    ]
    if not texts:
        return NoLimit() if result.outcome is AttemptOutcome.SERVED else None
    for text in texts:
        if not DECIMAL_NUMBER.fullmatch(text):
            return UnreadableLimit(text)
    return NamedLimit(min(float(text) for text in texts))


def _evaluate_refusal(response: HttpResponse) -> AttemptResult:
    if response.status == 421:
        return AttemptResult(NotRun(Reason.NO_OWNER), AttemptOutcome.KEY_NOT_HELD)
    if response.status in (429, 503):
        return AttemptResult(NotRun(Reason.TARGET_SHED), AttemptOutcome.SHED)
    refusal = NotRun(Reason.BAD_REQUEST, f"the target answered {response.status}")
    return AttemptResult(refusal, AttemptOutcome.FAILED)


def _untrusted_response(reason: Reason, detail: str) -> AttemptResult:
    return AttemptResult(MayHaveRun(reason, detail), AttemptOutcome.CONNECTION_LOST)
