"""Logs ended requests, at a bounded rate."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import Completed, MayHaveRun, NotRun

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest
    from balsamway.forwarding.request_run import RequestRun
    from balsamway.outcome import Verdict

SERVED_SAMPLE_INTERVAL = 64
"""One in this many served requests is logged."""
MAX_PATH_CHARACTERS = 200
"""Bounds the logged part of a request's path, in characters."""
MAX_LINES_PER_SECOND = 100
"""Bounds the log lines about requests. Lines above the bound are counted
instead of written."""

logger = logging.getLogger(__name__)


class RequestLog:
    """Logs each request that was not served, and a sample of the served ones.

    Implements `RequestObserver`.
    """

    def __init__(self) -> None:
        self._served_count = 0
        self._line_limit = LineLimit(logger, MAX_LINES_PER_SECOND)

    def on_finished(self, run: RequestRun, verdict: Verdict) -> None:
        """Log the verdict on a request.

        Responses with a status below 500 are sampled.

        Args:
            run: The attempts of the request.
            verdict: The verdict on the request.
        """
        if isinstance(verdict, Completed) and verdict.status < 500:
            self._served_count += 1
            if self._served_count % SERVED_SAMPLE_INTERVAL:
                return
        match verdict:
            case Completed(status=status):
                outcome, reason, detail = "completed", str(status), ""
            case NotRun(reason=why, detail=detail):
                outcome, reason = "not-run", str(why)
            case MayHaveRun(reason=why, detail=detail):
                outcome, reason = "may-have-run", str(why)
        self._write(run, outcome, reason, detail, now() - run.request.arrived)

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Log a request that was refused before its first attempt.

        Args:
            request: The request.
            refusal: Why it was refused.
        """
        if self._line_limit.has_room():
            logger.info(
                "request-refused",
                extra={
                    "request_id": request.request_id,
                    "reason": refusal.reason,
                    "caller_host": request.host,
                    "path": request.path[:MAX_PATH_CHARACTERS],
                },
            )

    def on_given_up(self, run: RequestRun, seconds: float) -> None:
        """Log a request whose caller disconnected.

        Args:
            run: The attempts of the request.
            seconds: How long the caller waited.
        """
        self._write(run, "given-up", "cancelled", "", seconds)

    def _write(
        self, run: RequestRun, outcome: str, reason: str, detail: str, seconds: float
    ) -> None:
        if not self._line_limit.has_room():
            return
        arrived_at = run.request.arrived
        logger.info(
            "request-ended",
            extra={
                "request_id": run.request.request_id,
                "outcome": outcome,
                "reason": reason,
                "detail": detail,
                "route": run.route.name,
                "service": run.service.name,
                "key": run.request.key,
                "ms": round(seconds * 1000, 1),
                "limit_ms": round((run.deadline - arrived_at) * 1000, 1),
                "attempts": [
                    {
                        "target": target,
                        "at_ms": round((started_at - arrived_at) * 1000, 1),
                        "finding": finding.value if finding else "open",
                    }
                    for target, started_at, finding in run.attempts
                ],
            },
        )
