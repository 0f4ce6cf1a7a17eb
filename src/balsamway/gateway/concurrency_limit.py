"""The limit on the requests that a gateway has in flight to a target."""

from __future__ import annotations

INITIAL_LIMIT = 2.0
"""The limit of a target that no request was sent to, in requests."""
LIMIT_INCREASE = 1.0
"""How much the limit grows over as many responses as it allows in flight."""
SHED_FACTOR = 0.7
"""The factor that shrinks the limit when the target sheds a request."""
SLOW_FACTOR = 0.9
"""The factor that shrinks the limit when the target has become slow."""
SLOW_RATIO = 3.0
"""The ratio of average to minimum latency above which the limit shrinks."""
MIN_LATENCY_DRIFT = 0.001
"""The fraction of its distance to the average that the minimum latency rises.

It rises at each response, so that the minimum follows a target that has become
slower for good."""


class ConcurrencyLimit:
    """Grow the limit of a target until it sheds requests or becomes slow.

    The maximum is this gateway's share of the target's connections.
    """

    def __init__(self, max_value: int) -> None:
        self._max = max_value
        self._value = min(INITIAL_LIMIT, max_value)
        self._min_latency: float | None = None
        self._shrunk_at = 0.0

    @property
    def value(self) -> int:
        """The number of requests that may be in flight."""
        return int(self._value)

    def set_max(self, max_value: int) -> None:
        """Set the maximum of the limit.

        Args:
            max_value: This gateway's share of the target's connections.
        """
        self._max = max_value
        self._value = min(self._value, max_value)
        if max_value >= 1:
            self._value = max(self._value, 1.0)

    def on_response(
        self, latency: float, average: float, in_flight: int, now: float
    ) -> None:
        """Adjust the limit after a response.

        Args:
            latency: The time to the response, in seconds.
            average: The moving average of that time, in seconds.
            in_flight: The number of requests that were in flight.
            now: The current event loop time.
        """
        minimum = self._min_latency
        if minimum is None or latency < minimum:
            minimum = latency
        self._min_latency = minimum + (average - minimum) * MIN_LATENCY_DRIFT
        if average > SLOW_RATIO * self._min_latency:
            self._shrink(SLOW_FACTOR, average, now)
        elif in_flight >= self.value:
            grown = self._value + LIMIT_INCREASE / self._value
            self._value = min(float(self._max), grown)

    def on_shed(self, average: float, now: float) -> None:
        """Shrink the limit after the target shed a request.

        Args:
            average: The moving average of the latency, in seconds.
            now: The current event loop time.
        """
        self._shrink(SHED_FACTOR, average, now)

    def _shrink(self, factor: float, average: float, now: float) -> None:
        if now - self._shrunk_at < average:
            return
        self._shrunk_at = now
        self._value = max(min(1.0, self._max), self._value * factor)
