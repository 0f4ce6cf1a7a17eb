"""Metrics of requests, attempts and connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Histogram

from balsamway.clock import now
from balsamway.outcome import Completed, NotRun

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.entry import EntryRequest
    from balsamway.forwarding.attempt_loop import AttemptLoop
    from balsamway.outcome import Verdict

BUCKET_LIMITS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)


class RequestMetrics:
    """Counts requests and attempts, and measures how long they take.

    Implements `RequestObserver`. Label values are names of services and fixed
    words only.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: The registry that exports them.
        """
        self._request_count = Counter(
            "balsamway_entry_requests",
            "Requests of callers, by service, outcome and reason.",
            ("service", "outcome", "reason"),
            registry=registry,
        )
        self._request_seconds = Histogram(
            "balsamway_entry_request_seconds",
            "From the arrival of a request to its verdict.",
            ("service",),
            buckets=BUCKET_LIMITS_SECONDS,
            registry=registry,
        )
        self._first_attempt_seconds = Histogram(
            "balsamway_entry_first_attempt_seconds",
            "From the arrival of a request to its first attempt.",
            ("service",),
            buckets=BUCKET_LIMITS_SECONDS,
            registry=registry,
        )
        self._attempt_count = Counter(
            "balsamway_entry_attempts",
            "Attempts at targets, by service and finding.",
            ("service", "finding"),
            registry=registry,
        )
        self._stream_count = Counter(
            "balsamway_entry_streamed_requests",
            "Requests with a streamed body, by how much of it was sent.",
            ("service", "sent"),
            registry=registry,
        )
        self._stream_bytes = Counter(
            "balsamway_entry_streamed_bytes",
            "Bytes of streamed bodies that were sent to targets.",
            ("service",),
            registry=registry,
        )
        self._connection_count = Counter(
            "balsamway_entry_connections_opened",
            "Connections opened to targets.",
            registry=registry,
        )

    def on_connection_opened(self) -> None:
        """Count a connection that was opened to a target."""
        self._connection_count.inc()

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Count a refused request; see `RequestObserver`."""
        self._request_count.labels("", "not-run", str(refusal.reason)).inc()

    def on_finished(self, attempt_loop: AttemptLoop, verdict: Verdict) -> None:
        """Count a verdict; see `RequestObserver`."""
        match verdict:
            case Completed(status=status):
                outcome, reason = "completed", f"{status // 100}xx"
            case NotRun(reason=why):
                outcome, reason = "not-run", str(why)
            case _:
                outcome, reason = "may-have-run", str(verdict.reason)
        self._count(
            attempt_loop, outcome, reason, now() - attempt_loop.request.arrived_at
        )

    def on_cancelled(self, attempt_loop: AttemptLoop, seconds: float) -> None:
        """Count a caller that disconnected; see `RequestObserver`."""
        self._count(attempt_loop, "given-up", "cancelled", seconds)

    def _count(
        self, attempt_loop: AttemptLoop, outcome: str, reason: str, seconds: float
    ) -> None:
        service = attempt_loop.service.name
        self._request_count.labels(service, outcome, reason).inc()
        self._request_seconds.labels(service).observe(seconds)
        body = attempt_loop.request.body
        if not isinstance(body, bytes):
            self._stream_count.labels(service, body.ending).inc()
            self._stream_bytes.labels(service).inc(body.taken_bytes)
        if attempt_loop.attempts:
            wait_seconds = attempt_loop.attempts[0][1] - attempt_loop.request.arrived_at
            self._first_attempt_seconds.labels(service).observe(wait_seconds)
        for _, _, attempt_outcome in attempt_loop.attempts:
            label = attempt_outcome.value if attempt_outcome is not None else "open"
            self._attempt_count.labels(service, label).inc()
