"""Counts the calls to the platform."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class CallCounts:
    """Counts reads, writes and watches, by what came of them."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Registers the metrics.

        Args:
            registry: Where to register; None for a registry of its own.
        """
        registry = registry or CollectorRegistry()
        self._calls = Counter(
            "balsamway_platform_calls",
            "Calls to the platform, by operation and result.",
            ("operation", "result"),
            registry=registry,
        )
        self._open = Gauge(
            "balsamway_platform_open_watches",
            "Watches that wait for a change.",
            registry=registry,
        )
        self._totals: dict[str, int] = {}

    @property
    def totals(self) -> dict[str, int]:
        """How often each operation was called."""
        return dict(self._totals)

    def count(self, operation: str, result: object) -> None:
        """Counts one call that has ended.

        Args:
            operation: `read`, `write`, `watch` or `hosts`.
            result: What came of it; its class names the result.
        """
        self._totals[operation] = self._totals.get(operation, 0) + 1
        self._calls.labels(operation, type(result).__name__).inc()

    def watch_opened(self) -> None:
        """Counts a watch that begins to wait."""
        self._open.inc()

    def watch_closed(self) -> None:
        """Counts a watch that has ended."""
        self._open.dec()
