"""The latencies of one kind of request, as this gateway measured them."""

from __future__ import annotations

import asyncio

from hdrh.histogram import HdrHistogram

WINDOW_SECONDS = 15.0
"""How long one histogram is filled. The previous one is used as well."""
REFRESH_INTERVAL_SECONDS = 1.0
"""How often the percentile is computed."""
HEDGE_PERCENTILE = 95.0
"""The percentile of the latencies after which an attempt gets a hedge."""
MIN_SAMPLES = 50
"""The minimum number of latencies for a percentile."""
_MICROSECONDS = 1_000_000
_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 120 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2


class LatencyHistory:
    """The latencies of one kind of request, as this gateway measured them."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time()
        self._current = _histogram()
        self._previous = _histogram()
        self._window_end = now + WINDOW_SECONDS
        self._hedge_delay: float | None = None
        self._refresh_at = now

    def record(self, seconds: float) -> None:
        """Record the latency of a completed request.

        Args:
            seconds: The time to the response.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._window_end:
            self._previous, self._current = self._current, _histogram()
            self._window_end = now + WINDOW_SECONDS
        self._current.record_value(max(1, int(seconds * _MICROSECONDS)))

    def hedge_delay(self) -> float | None:
        """Return the time after which an attempt gets a hedge.

        Returns:
            The percentile of the latencies in seconds, or None while there
            are too few of them.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_INTERVAL_SECONDS
            self._hedge_delay = self._percentile()
        return self._hedge_delay

    def _percentile(self) -> float | None:
        merged = _histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count() < MIN_SAMPLES:
            return None
        return merged.get_value_at_percentile(HEDGE_PERCENTILE) / _MICROSECONDS


def _histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
