"""What one gateway reported of a shard, smoothed over time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.ownership.messages.load_report import LoadReport
    from balsamway.slices import KeyRange

SMOOTHING_SECONDS = 5.0
"""The time constant of the moving averages."""

LEAST_LOAD = 1e-4
"""Averages that fell below this are dropped, in busy seconds a second."""


class GatewayLoad:
    """Moving averages of the load of each slice and each reported key."""

    def __init__(self, now: float) -> None:
        """Creates the averages of a gateway that was just heard from.

        Args:
            now: The runtime's clock, in seconds.
        """
        self.heard_at = now
        self.ranges: dict[KeyRange, float] = {}
        """Busy seconds a second of each slice."""
        self.keys: dict[int, tuple[float, float]] = {}
        """Requests and busy seconds a second of each key."""
        self.requests = 0.0
        """Requests a second of all slices."""

    def update(self, report: LoadReport, now: float) -> None:
        """Takes in a report.

        Args:
            report: The report.
            now: The runtime's clock, in seconds.
        """
        self.heard_at = now
        interval = max(report.interval_seconds, 1e-3)
        fading = math.exp(-interval / SMOOTHING_SECONDS)
        gain = (1.0 - fading) / interval
        self._fade(fading)
        for item in report.ranges:
            found = self.ranges.get(item.range, 0.0)
            self.ranges[item.range] = found + item.busy_seconds * gain
            self.requests += item.requests * gain
        for key in report.hot_keys:
            requests, busy_seconds = self.keys.get(key.position, (0.0, 0.0))
            self.keys[key.position] = (
                requests + key.requests * gain,
                busy_seconds + key.busy_seconds * gain,
            )

    def _fade(self, fading: float) -> None:
        self.requests *= fading
        self.ranges = {
            item: load * fading
            for item, load in self.ranges.items()
            if load * fading > LEAST_LOAD
        }
        self.keys = {
            position: (requests * fading, load * fading)
            for position, (requests, load) in self.keys.items()
            if load * fading > LEAST_LOAD
        }
