"""Metrics of the requests to limited targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

from balsamway.limits.admission import Admitted

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.limits.admission import Admission


class LimitMetrics:
    """Counts the requests that were admitted and those held back."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: The registry that exports them.
        """
        self._count = Counter(
            "balsamway_entry_limited_requests",
            "Requests to targets with a limit, by outcome and who decided.",
            ("outcome", "by"),
            registry=registry,
        )

    def count(self, admission: Admission, by: str) -> None:
        """Count a decision about one request.

        Args:
            admission: The decision.
            by: Who decided: `leader`, `share` or `cache`.
        """
        outcome = "admitted" if isinstance(admission, Admitted) else "held-back"
        self._count.labels(outcome, by).inc()
