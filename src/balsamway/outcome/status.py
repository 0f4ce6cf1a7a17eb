"""The HTTP status codes of verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.outcome.reason import Reason
from balsamway.outcome.verdict import Completed, MayHaveRun, NotRun

if TYPE_CHECKING:
    from balsamway.outcome.verdict import Verdict

_NOT_RUN_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_KIND: 404,
    Reason.REQUEST_TIMEOUT: 408,
    Reason.BODY_TOO_LARGE: 413,
    Reason.TOO_MANY_REQUESTS: 429,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.DEADLINE_EXCEEDED: 504,
}


def status_of(verdict: Verdict) -> int:
    """Return the HTTP status that a caller receives for a verdict.

    Args:
        verdict: The verdict on the request.

    Returns:
        The target's own status for a completed request, otherwise a status
        from 400 to 504.
    """
    match verdict:
        case Completed(status=status):
            return status
        case NotRun(reason=reason):
            return _NOT_RUN_STATUSES.get(reason, 503)
        case MayHaveRun(reason=Reason.DEADLINE_EXCEEDED):
            return 504
        case MayHaveRun():
            return 502
