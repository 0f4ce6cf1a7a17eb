"""Counts requests and attempts, and measures how long they take."""

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

BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)


class RequestMetrics:
    """Implements `RequestObserver`; labels are services and fixed words."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the metrics.

        Args:
            registry: Where to register.
        """
        self._requests = Counter(
            "balsamway_entry_requests",
            "Requests of callers, by service, outcome and reason.",
            ("service", "outcome", "reason"),
            registry=registry,
        )
        self._seconds = Histogram(
            "balsamway_entry_request_seconds",
            "From the arrival of a request to its verdict.",
            ("service",),
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._waits = Histogram(
            "balsamway_entry_first_attempt_seconds",
            "From the arrival of a request to its first attempt.",
            ("service",),
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._attempts = Counter(
            "balsamway_entry_attempts",
            "Attempts at targets, by service and finding.",
            ("service", "finding"),
            registry=registry,
        )
        self._connections = Counter(
            "balsamway_entry_connections_opened",
            "Connections opened to targets.",
            registry=registry,
        )

    def on_connection_opened(self) -> None:
        """Counts a connection to a target."""
        self._connections.inc()

    def on_refused(self, request: EntryRequest, refusal: NotRun) -> None:
        """Counts a request without a route; see `RequestObserver`."""
        self._requests.labels("", "not-run", str(refusal.reason)).inc()

    def on_finished(self, run: AttemptLoop, verdict: Verdict) -> None:
        """Counts a verdict; see `RequestObserver`."""
        match verdict:
            case Completed(status=status):
                outcome, reason = "completed", f"{status // 100}xx"
            case NotRun(reason=why):
                outcome, reason = "not-run", str(why)
            case _:
                outcome, reason = "may-have-run", str(verdict.reason)
        self._count(run, outcome, reason, now() - run.request.arrived_at)

    def on_cancelled(self, run: AttemptLoop, seconds: float) -> None:
        """Counts a caller that left; see `RequestObserver`."""
        self._count(run, "given-up", "cancelled", seconds)

    def _count(
        self, run: AttemptLoop, outcome: str, reason: str, seconds: float
    ) -> None:
        service = run.service.name
        self._requests.labels(service, outcome, reason).inc()
        self._seconds.labels(service).observe(seconds)
        if run.attempts:
            began = run.attempts[0][1] - run.request.arrived_at
            self._waits.labels(service).observe(began)
        for _, _, attempt_outcome in run.attempts:
            name = attempt_outcome.value if attempt_outcome is not None else "open"
            self._attempts.labels(service, name).inc()
