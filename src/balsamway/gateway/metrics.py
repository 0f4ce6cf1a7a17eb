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

    The label sets are few and are kept, since finding one in the library
    costs more than counting.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the metrics.

        Args:
            registry: The registry that the daemon shows.
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
        self._busy = Counter(
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
        self._opened = Counter(
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

    def watch(
        self, in_flight: Callable[[], float], waiting: Callable[[], float]
    ) -> None:
        """Sets where the gauges are read from when they are shown.

        Args:
            in_flight: Counts the attempts in flight.
            waiting: Counts the requests that wait for a target.
        """
        self._in_flight.set_function(in_flight)
        self._waiting.set_function(waiting)

    def on_request(
        self, request: CallerRequest, verdict: Verdict, seconds: float
    ) -> None:
        """Counts a request that was answered.

        Args:
            request: The request.
            verdict: The verdict on the request.
            seconds: The time it took.
        """
        name, reason = _labels(verdict)
        labels = request.labels
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
        """Counts an attempt that has ended.

        Args:
            workspace: The workspace's name.
            service: The service's name.
            target: The target's name.
            verdict: The verdict on the attempt.
            seconds: The time it took.
        """
        name, reason = _labels(verdict)
        self._child(self._attempts, (workspace, service, target, name, reason)).inc()
        if isinstance(verdict, Completed):
            self._child(self._busy, (workspace, service, target)).inc(seconds)

    def on_retry(self, request: CallerRequest) -> None:
        """Counts an attempt after the first.

        Args:
            request: The request.
        """
        self._retries.labels(*request.labels).inc()

    def on_hedge(self, request: CallerRequest) -> None:
        """Counts an attempt beside a late one.

        Args:
            request: The request.
        """
        self._hedges.labels(*request.labels).inc()

    def on_refusal(self, reason: Reason) -> None:
        """Counts a request that was refused before it was routed.

        Args:
            reason: Why it was refused.
        """
        self._child(self._refusals, (reason,)).inc()

    def on_open(self) -> None:
        """Counts a connection that was opened to a target."""
        self._opened.inc()

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
