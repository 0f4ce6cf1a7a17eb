"""How late the event loop of an entry host runs its timers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import mode
from prometheus_client import Histogram

from balsamway.clock import now

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

CHECK_INTERVAL_SECONDS = 1.0
"""The time between two measurements."""
MIN_LOGGED_SECONDS = 0.5
"""The least delay that is logged. Callers notice it, and so do other hosts,
whose messages wait as long."""
BUCKETS_SECONDS = (0.005, 0.02, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0)

logger = logging.getLogger(__name__)


class EventLoopDelay(mode.Service):
    """Measures the delay of the event loop.

    A delay is the work of one callback that did not return, or the host was
    suspended or got no processor time.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metric.

        Args:
            registry: The registry that exports it.
        """
        super().__init__()
        self._delays = Histogram(
            "balsamway_entry_event_loop_delay_seconds",
            "How late the event loop ran a timer, measured once a second.",
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )

    @mode.Service.task
    async def _measure(self) -> None:
        while not self.should_stop:
            expected_at = now() + CHECK_INTERVAL_SECONDS
            await self.sleep(CHECK_INTERVAL_SECONDS)
            self.record(max(0.0, now() - expected_at))

    def record(self, seconds: float) -> None:
        """Count a delay, and log a long one.

        Args:
            seconds: How late a timer was run.
        """
        self._delays.observe(seconds)
        if seconds >= MIN_LOGGED_SECONDS:
            logger.warning("event-loop-late", extra={"seconds": round(seconds, 3)})
