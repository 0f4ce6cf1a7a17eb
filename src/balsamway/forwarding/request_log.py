"""Logs what became of requests, within a bounded volume."""

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

SERVED_SAMPLE = 64
"""One served request in so many gets a line."""
PATH_CHARACTERS = 200
LINES_PER_SECOND = 100
"""How many lines of requests a second are written; others are counted."""

logger = logging.getLogger(__name__)


class RequestLog:
    """Writes a line for each request that was not served, and a sample."""

    def __init__(self) -> None:
        self._served = 0
        self._limit = LineLimit(logger, LINES_PER_SECOND)

    def on_finished(self, run: AttemptLoop, verdict: Verdict) -> None:
        """Notes the end of a request.

        Args:
            run: The request's run.
            verdict: What became of it.
        """
        if isinstance(verdict, Completed) and verdict.status < 500:
            self._served += 1
            if self._served % SERVED_SAMPLE:
                return
        match verdict:
            case Completed(status=status):
                outcome, reason, detail = "completed", str(status), ""
            case NotRun(reason=why, detail=detail):
                outcome, reason = "not-run", str(why)
            case MayHaveRun(reason=why, detail=detail):
                outcome, reason = "may-have-run", str(why)
        self._write(run, outcome, reason, detail, now() - run.request.arrived_at)

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Notes a request that has no route here; see `RequestObserver`."""
        if self._limit.allow():
            logger.info(
                "request-refused",
                extra={
                    "request_id": request.request_id,
                    "reason": refusal.reason,
                    "caller_host": request.host,
                    "path": request.path[:PATH_CHARACTERS],
                },
            )

    def on_cancelled(self, run: AttemptLoop, seconds: float) -> None:
        """Notes that a caller left.

        Args:
            run: The request's run.
            seconds: How long the caller waited.
        """
        self._write(run, "given-up", "cancelled", "", seconds)

    def _write(
        self, run: AttemptLoop, outcome: str, reason: str, detail: str, seconds: float
    ) -> None:
        if not self._limit.allow():
            return
        began = run.request.arrived_at
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
                "limit_ms": round((run.deadline - began) * 1000, 1),
                "attempts": [
                    {
                        "target": name,
                        "at_ms": round((at - began) * 1000, 1),
                        "finding": attempt_outcome.value if attempt_outcome else "open",
                    }
                    for name, at, attempt_outcome in run.attempts
                ],
            },
        )
