"""Metrics of requests that may end targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class QuarantineMetrics:
    """Counts the noticed ends of targets and the refused requests."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: The registry that exports them.
        """
        self._ends = Counter(
            "balsamway_entry_target_ends",
            "Ends of targets with requests of this host in progress.",
            registry=registry,
        )
        self._refused = Counter(
            "balsamway_entry_quarantined_requests",
            "Requests that were refused because targets had ended under them.",
            ("decision",),
            registry=registry,
        )

    def count_end(self) -> None:
        """Count an end of a target."""
        self._ends.inc()

    def count_refused(self, decision: str) -> None:
        """Count a refused request.

        Args:
            decision: `quarantined` or `isolated`.
        """
        self._refused.labels(decision).inc()
