"""The metrics of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

from balsamway.outcome import Completed, MayHaveRun, NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.outcome import Reason, Verdict

_LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.004,
    0.008,
    0.013,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class GatewayMetrics:
    """The metrics of the request path.

    The children of the metrics are cached by their labels. There are few of
    them, and a look-up in the library costs more than the increment itself.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: The registry that the daemon exposes.
        """
        kind = ("workspace", "service", "kind")
        self._requests = Counter(
            "balsamway_requests",
            "Requests that were answered, by verdict and reason",
            (*kind, "verdict", "reason"),
            registry=registry,
        )
        self._latency = Histogram(
            "balsamway_request_seconds",
            "The time from a request's head to its answer",
            kind,
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self._attempts = Counter(
            "balsamway_attempts",
            "Attempts sent to targets, by verdict and reason",
            ("workspace", "service", "server", "verdict", "reason"),
            registry=registry,
        )
        self._busy_seconds = Counter(
            "balsamway_target_busy_seconds",
            "The time that targets took for answers, as seen by this gateway",
            ("workspace", "service", "target"),
            registry=registry,
        )
        self._retries = Counter(
            "balsamway_retries", "Attempts after the first", kind, registry=registry
        )
        self._hedges = Counter(
            "balsamway_hedges", "Attempts beside a late one", kind, registry=registry
        )
        self._connections_opened = Counter(
            "balsamway_connections_opened",
            "Connections opened to targets",
            registry=registry,
        )
        self._in_flight = Gauge(
            "balsamway_in_flight", "Attempts in flight to targets", registry=registry
        )
        self._waiting = Gauge(
            "balsamway_waiting", "Requests that wait for a target", registry=registry
        )
        self._refusals = Counter(
            "balsamway_refusals",
            "Requests refused before they were routed, by reason",
            ("reason",),
            registry=registry,
        )
        self._children: dict[tuple[Counter, tuple[str, ...]], Counter] = {}
        self._histograms: dict[tuple[str, ...], Histogram] = {}

    def set_gauge_sources(
        self, in_flight: Callable[[], float], waiting: Callable[[], float]
    ) -> None:
        """Set the functions that the gauges read when they are collected.

        Args:
            in_flight: Returns the number of attempts in flight.
            waiting: Returns the number of requests that wait for a target.
        """
        self._in_flight.set_function(in_flight)
        self._waiting.set_function(waiting)

    def on_request(
        self, request: CallerRequest, verdict: Verdict, seconds: float
    ) -> None:
        """Count a request that has ended.

        Args:
            request: The request.
            verdict: The verdict on the request.
            seconds: The duration of the request.
        """
        name, reason = _labels(verdict)
        labels = request.metric_labels
        self._child(self._requests, (*labels, name, reason)).inc()
        histogram = self._histograms.get(labels)
        if histogram is None:
            histogram = self._latency.labels(*labels)
            self._histograms[labels] = histogram
        histogram.observe(seconds)

    def on_attempt(
        self,
        workspace: str,
        service: str,
        target: str,
        verdict: Verdict,
        seconds: float,
    ) -> None:
        """Count an attempt that has ended.

        Args:
            workspace: The workspace's name.
            service: The service's name.
            target: The target's name.
            verdict: The verdict on the attempt.
            seconds: The duration of the attempt.
        """
        name, reason = _labels(verdict)
        self._child(self._attempts, (workspace, service, target, name, reason)).inc()
        if isinstance(verdict, Completed):
            self._child(self._busy_seconds, (workspace, service, target)).inc(seconds)

    def on_retry(self, request: CallerRequest) -> None:
        """Count a retry of a request.

        Args:
            request: The request.
        """
        self._retries.labels(*request.metric_labels).inc()

    def on_hedge(self, request: CallerRequest) -> None:
        """Count a hedge of a request.

        Args:
            request: The request.
        """
        self._hedges.labels(*request.metric_labels).inc()

    def on_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was routed.

        Args:
            reason: The reason for the refusal.
        """
        self._child(self._refusals, (reason,)).inc()

    def on_open(self) -> None:
        """Count a connection that was opened to a target."""
        self._connections_opened.inc()

    def _child(self, counter: Counter, labels: tuple[str, ...]) -> Counter:
        child = self._children.get((counter, labels))
        if child is None:
            child = counter.labels(*labels)
            self._children[counter, labels] = child
        return child


def _labels(verdict: Verdict) -> tuple[str, str]:
    match verdict:
        case Completed():
            return "completed", ""
        case NotRun(reason=reason):
            return "not-run", reason
        case MayHaveRun(reason=reason):
            return "may-have-run", reason
