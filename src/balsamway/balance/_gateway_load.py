"""The load of a shard that one gateway reported, smoothed over time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.ownership.messages.load_report import LoadReport
    from balsamway.slices import KeyRange

SMOOTHING_SECONDS = 5.0
"""The time constant of the moving averages."""

MIN_LOAD = 1e-4
"""Moving averages below this are dropped, in busy seconds per second."""


class GatewayLoad:
    """Moving averages of the load of each slice and each reported key.

    The load is measured in busy seconds, which is the time that targets spend
    on requests.
    """

    def __init__(self, now: float) -> None:
        """Create the averages of a gateway at its first report.

        Args:
            now: The event loop time, in seconds.
        """
        self.heard_at = now
        """When the gateway reported last, in event loop time."""
        self.ranges: dict[KeyRange, float] = {}
        """The busy seconds per second of each slice."""
        self.keys: dict[int, tuple[float, float]] = {}
        """The requests and the busy seconds per second of each key."""
        self.requests = 0.0
        """The requests per second of all slices."""

    def update(self, report: LoadReport, now: float) -> None:
        """Add a report to the averages.

        Args:
            report: The report.
            now: The event loop time, in seconds.
        """
        self.heard_at = now
        interval = max(report.interval_seconds, 1e-3)
        decay = math.exp(-interval / SMOOTHING_SECONDS)
        gain = (1.0 - decay) / interval
        self._decay(decay)
        for range_load in report.ranges:
            found = self.ranges.get(range_load.range, 0.0)
            self.ranges[range_load.range] = found + range_load.busy_seconds * gain
            self.requests += range_load.requests * gain
        for key in report.hot_keys:
            requests, busy_seconds = self.keys.get(key.position, (0.0, 0.0))
            self.keys[key.position] = (
                requests + key.requests * gain,
                busy_seconds + key.busy_seconds * gain,
            )

    def _decay(self, decay: float) -> None:
        self.requests *= decay
        self.ranges = {
            slice_range: load * decay
            for slice_range, load in self.ranges.items()
            if load * decay > MIN_LOAD
        }
        self.keys = {
            position: (requests * decay, load * decay)
            for position, (requests, load) in self.keys.items()
            if load * decay > MIN_LOAD
        }
