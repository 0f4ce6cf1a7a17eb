"""Tells refusals and resets by full targets from other ends of an exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.limits import NamedLimit
from balsamway.outcome import MayHaveRun, Reason

if TYPE_CHECKING:
    from balsamway.forwarding.attempt_result import AttemptResult

MAX_RESET_SECONDS = 0.1
"""How soon after a request was sent a full target resets the connection. It
takes a few ms, and a busy host reads the reset some tens of ms later. Requests
that a terminating target was executing began earlier for the most part."""


def is_reset_of_request(result: AttemptResult, seconds: float) -> bool:
    """Return whether a full target may have reset the request right away.

    An idle connection that was closed before anything was written does not
    count: targets also close connections for being idle.

    Args:
        result: The result of the attempt.
        seconds: The latency of the attempt.
    """
    match result.verdict:
        case MayHaveRun(reason=Reason.CONNECTION_LOST):
            return (
                result.outcome is AttemptOutcome.CONNECTION_LOST
                and seconds <= MAX_RESET_SECONDS
            )
    return False


def is_refusal_for_fullness(result: AttemptResult) -> bool:
    """Return whether a target may have refused the request as it was full.

    A target that names a limit may have refused because of its rate.

    Args:
        result: The result of the attempt.
    """
    is_limited = isinstance(result.limit, NamedLimit)
    return result.outcome is AttemptOutcome.SHED and not is_limited
