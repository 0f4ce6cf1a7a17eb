"""The latencies of one kind of request, as this gateway saw them."""

from __future__ import annotations

import asyncio

from hdrh.histogram import HdrHistogram

WINDOW_SECONDS = 15.0
"""How long a histogram is filled; the one before it counts as well."""
REFRESH_SECONDS = 1.0
"""How often the percentile is worked out anew."""
HEDGE_PERCENTILE = 95.0
LEAST_SAMPLES = 50
_MICROSECONDS = 1_000_000
_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120 * _MICROSECONDS
_DIGITS = 2


class LatencyHistory:
    """The latencies of one kind of request, as this gateway saw them."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time()
        self._current = _histogram()
        self._previous = _histogram()
        self._window_end = now + WINDOW_SECONDS
        self._hedge_delay: float | None = None
        self._refresh_at = now

    def record(self, seconds: float) -> None:
        """Counts an answer.

        Args:
            seconds: The time from sending to the answer.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._window_end:
            self._previous, self._current = self._current, _histogram()
            self._window_end = now + WINDOW_SECONDS
        self._current.record_value(max(1, int(seconds * _MICROSECONDS)))

    def hedge_delay(self) -> float | None:
        """Tells after what time an attempt is late.

        Returns:
            The percentile of the latencies in seconds, or None while there
            are too few.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_SECONDS
            self._hedge_delay = self._percentile()
        return self._hedge_delay

    def _percentile(self) -> float | None:
        both = _histogram()
        both.add(self._previous)
        both.add(self._current)
        if both.get_total_count() < LEAST_SAMPLES:
            return None
        return both.get_value_at_percentile(HEDGE_PERCENTILE) / _MICROSECONDS


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _DIGITS)
