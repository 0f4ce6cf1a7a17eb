"""Metrics of the calls to the platform."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class CallCounts:
    """Count calls to the platform by operation and result."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Register the metrics.

        Args:
            registry: The registry for the metrics; None for a new one.
        """
        registry = registry or CollectorRegistry()
        self._calls = Counter(
            "balsamway_platform_calls",
            "Calls to the platform, by operation and result.",
            ("operation", "result"),
            registry=registry,
        )
        self._open_watches = Gauge(
            "balsamway_platform_open_watches",
            "Watches that wait for a change.",
            registry=registry,
        )
        self._era = Gauge(
            "balsamway_platform_store_era",
            "The era of the store, which rises by one with each restore.",
            registry=registry,
        )
        self._totals: dict[str, int] = {}

    @property
    def totals(self) -> dict[str, int]:
        """The number of calls of each operation."""
        return dict(self._totals)

    def count(self, operation: str, result: object) -> None:
        """Count one completed call.

        Args:
            operation: The operation, such as `read`, `write`, `watch` or
                `hosts`.
            result: The result of the call; its class name is the label.
        """
        self._totals[operation] = self._totals.get(operation, 0) + 1
        self._calls.labels(operation, type(result).__name__).inc()

    def era_changed(self, era: int) -> None:
        """Export the era of the store.

        Args:
            era: The era that a response named.
        """
        self._era.set(era)

    def watch_opened(self) -> None:
        """Count a watch that starts to wait."""
        self._open_watches.inc()

    def watch_closed(self) -> None:
        """Count a watch that has ended."""
        self._open_watches.dec()
