"""Sends one attempt over a pooled connection, within its timeouts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.exchange import BodyBroken, BodyTooLarge, NotSent
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.outcome import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.exchange import (
        ConnectionPool,
        HttpRequest,
        HttpResponse,
        ResponseLost,
    )

ACQUIRE_TIMEOUT_SECONDS = 0.45
"""The longest wait for a free connection. The target may begin to drain or ask
for rest during this wait, and must get no new requests two seconds after the
former and half a second after the latter."""
SEND_MARGIN_SECONDS = 0.01
"""How long before the deadline the wait for a connection ends. The result
then says that the request was not sent; at the deadline it might have been."""

RETRIED_AT_THE_TARGET = frozenset(
    {AttemptOutcome.KEY_NOT_HELD, AttemptOutcome.WRONG_TARGET}
)
"""Refusals after which the same request may be sent to the same target. A
faulty target may repeat such a refusal, and its request id would match, so the
connection is not used again."""


async def send_attempt(
    pool: ConnectionPool,
    timeout_seconds: float,
    encode: Callable[[float], HttpRequest],
    evaluate: Callable[[HttpResponse | ResponseLost | NotSent, bool], AttemptResult],
) -> AttemptResult:
    """Send one attempt and wait for its result.

    Cancelling the call also cancels the attempt at the target.

    Args:
        pool: The connections to the target.
        timeout_seconds: The time left to the request's deadline.
        encode: Returns the request to send; receives the time left, in
            seconds.
        evaluate: Returns what a response shows; receives the response, and
            whether it is to the first request of its connection.

    Returns:
        The result of the attempt, no later than its timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_seconds
    try:
        async with asyncio.timeout(
            min(timeout_seconds - SEND_MARGIN_SECONDS, ACQUIRE_TIMEOUT_SECONDS)
        ):
            connection = await pool.acquire()
    except TimeoutError:
        refusal = NotRun(Reason.OVERLOADED, "no free connection to the target")
        return AttemptResult(refusal, AttemptOutcome.TIMED_OUT)
    if isinstance(connection, NotSent):
        refusal = NotRun(Reason.CONNECT_FAILED, connection.reason)
        return AttemptResult(refusal, _outcome_without_connection(connection))
    try:
        async with asyncio.timeout_at(deadline):
            response = await connection.exchange(encode(deadline - loop.time()))
            result = evaluate(response, connection.exchange_count == 1)
            if result.outcome in RETRIED_AT_THE_TARGET:
                connection.close()
    except BodyBroken as error:
        return _body_broken(error)
    except TimeoutError:
        timed_out = MayHaveRun(Reason.DEADLINE_EXCEEDED)
        return AttemptResult(timed_out, AttemptOutcome.TIMED_OUT)
    finally:
        pool.release(connection)
    return result


def _outcome_without_connection(result: NotSent) -> AttemptOutcome:
    if result.is_withheld:
        return AttemptOutcome.WITHHELD
    if result.is_reset_by_target:
        return AttemptOutcome.CONNECTION_REFUSED
    return AttemptOutcome.UNREACHABLE


def _body_broken(error: BodyBroken) -> AttemptResult:
    is_too_large = isinstance(error, BodyTooLarge)
    reason = Reason.BODY_TOO_LARGE if is_too_large else Reason.BAD_REQUEST
    verdict = (
        MayHaveRun(reason, str(error)) if error.is_sent else NotRun(reason, str(error))
    )
    return AttemptResult(verdict, AttemptOutcome.BODY_BROKEN)
