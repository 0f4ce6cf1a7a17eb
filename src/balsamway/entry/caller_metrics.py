"""Metrics of the connections of callers and of what they make a host hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.entry.closing_cause import ClosingCause
    from balsamway.entry.entry_listener import EntryListener
    from balsamway.exchange import ByteBudget


class CallerMetrics:
    """Counts closed callers, and shows the use of connections and memory."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: The registry that exports them.
        """
        self._registry = registry
        self._closed_count = Counter(
            "balsamway_entry_closed_callers",
            "Connections of callers that reached a bound, by cause.",
            ("cause",),
            registry=registry,
        )

    def count_closed(self, cause: ClosingCause) -> None:
        """Count a connection that the host ends.

        Args:
            cause: Which bound the caller reached.
        """
        self._closed_count.labels(cause).inc()

    def watch(self, listener: EntryListener, budget: ByteBudget) -> None:
        """Export gauges that read their values when they are scraped.

        Args:
            listener: The listener that accepts callers.
            budget: The memory of the host.
        """
        for name, documentation, read_value in (
            (
                "balsamway_entry_caller_connections",
                "Open connections of callers.",
                lambda: listener.connection_count,
            ),
            (
                "balsamway_entry_caller_connections_max",
                "The bound of the connections of callers.",
                lambda: listener.max_connections,
            ),
            (
                "balsamway_entry_held_bytes",
                "What callers and targets make the host hold.",
                lambda: budget.held_bytes,
            ),
            (
                "balsamway_entry_held_bytes_max",
                "The bound of the bytes held.",
                lambda: budget.max_bytes,
            ),
        ):
            Gauge(name, documentation, registry=self._registry).set_function(read_value)
