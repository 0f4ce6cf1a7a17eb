"""How many requests a gateway has in flight to a target at once."""

from __future__ import annotations

INITIAL = 2.0
INCREASE = 1.0
"""How much the limit grows in the time of as many answers as it allows."""
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 3.0
"""The latency, over the least seen, from which the limit shrinks."""
FLOOR_DRIFT = 0.001
"""By what part of the difference the least latency rises at each answer."""


class ConcurrencyLimit:
    """Grows while a target keeps up, and shrinks when it sheds or slows.

    The ceiling is this gateway's share of the target's connections.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = ceiling
        self._value = min(INITIAL, ceiling)
        self._least_latency: float | None = None
        self._shrunk_at = 0.0

    @property
    def value(self) -> int:
        """How many requests may be in flight."""
        return int(self._value)

    def set_ceiling(self, ceiling: int) -> None:
        """Sets the most that the limit may be.

        Args:
            ceiling: The share of the target's connections.
        """
        self._ceiling = ceiling
        self._value = min(self._value, ceiling)
        if ceiling >= 1:
            self._value = max(self._value, 1.0)

    def on_answer(
        self, latency: float, average: float, in_flight: int, now: float
    ) -> None:
        """Counts an answer.

        Args:
            latency: The time the answer took, in seconds.
            average: The moving average of that time.
            in_flight: How many requests were in flight.
            now: The runtime's clock.
        """
        least = self._least_latency
        if least is None or latency < least:
            least = latency
        self._least_latency = least + (average - least) * FLOOR_DRIFT
        if average > SLOW_RATIO * self._least_latency:
            self._shrink(SLOW_FACTOR, average, now)
        elif in_flight >= self.value:
            grown = self._value + INCREASE / self._value
            self._value = min(float(self._ceiling), grown)

    def on_shed(self, average: float, now: float) -> None:
        """Counts a request that the target refused to take.

        Args:
            average: The moving average of the latency, in seconds.
            now: The runtime's clock.
        """
        self._shrink(SHED_FACTOR, average, now)

    def _shrink(self, factor: float, average: float, now: float) -> None:
        if now - self._shrunk_at < average:
            return
        self._shrunk_at = now
        self._value = max(min(1.0, self._ceiling), self._value * factor)
