"""Logs ended requests, at a bounded rate."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import Completed, MayHaveRun, NotRun

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest
    from balsamway.forwarding.attempt_loop import AttemptLoop
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

    def on_finished(self, attempt_loop: AttemptLoop, verdict: Verdict) -> None:
        """Log the verdict on a request.

        Responses with a status below 500 are sampled.

        Args:
            attempt_loop: The attempts of the request.
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
        self._write(
            attempt_loop,
            outcome,
            reason,
            detail,
            now() - attempt_loop.request.arrived_at,
        )

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Log a request that was refused before its first attempt.

        Args:
            request: The request.
            refusal: Why it was refused.
        """
        if self._line_limit.allow():
            logger.info(
                "request-refused",
                extra={
                    "request_id": request.request_id,
                    "reason": refusal.reason,
                    "caller_host": request.host,
                    "path": request.path[:MAX_PATH_CHARACTERS],
                },
            )

    def on_cancelled(self, attempt_loop: AttemptLoop, seconds: float) -> None:
        """Log a request whose caller disconnected.

        Args:
            attempt_loop: The attempts of the request.
            seconds: How long the caller waited.
        """
        self._write(attempt_loop, "given-up", "cancelled", "", seconds)

    def _write(
        self,
        attempt_loop: AttemptLoop,
        outcome: str,
        reason: str,
        detail: str,
        seconds: float,
    ) -> None:
        if not self._line_limit.allow():
            return
        arrived_at = attempt_loop.request.arrived_at
        body = attempt_loop.request.body
        streamed: dict[str, object] = {}
        if not isinstance(body, bytes):
            streamed["body"] = {
                "sent": body.ending,
                "bytes": body.taken_bytes,
                "length": body.length,
            }
        logger.info(
            "request-ended",
            extra={
                "request_id": attempt_loop.request.request_id,
                "outcome": outcome,
                "reason": reason,
                "detail": detail,
                "route": attempt_loop.route.name,
                "route_host": attempt_loop.route.host,
                "path_prefix": attempt_loop.route.path_prefix,
                "service": attempt_loop.service.name,
                "key": attempt_loop.request.key,
                "ms": round(seconds * 1000, 1),
                "limit_ms": round((attempt_loop.deadline - arrived_at) * 1000, 1),
                "attempts": [
                    {
                        "target": target,
                        "at_ms": round((started_at - arrived_at) * 1000, 1),
                        "finding": attempt_outcome.value if attempt_outcome else "open",
                    }
                    for target, started_at, attempt_outcome in attempt_loop.attempts
                ],
            }
            | streamed,
        )
