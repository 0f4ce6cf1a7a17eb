"""A running median in constant memory."""

from __future__ import annotations

STEP_FACTOR = 1.02
"""The factor by which one value moves the median."""


class RunningMedian:
    """Tracks the median of a stream of positive values.

    Each value moves the median one step towards itself. The median thus
    settles where as many values are above it as below it, however far off
    some of them are.
    """

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        """The median, or 0 before the first value."""
        return self._value

    def add(self, value: float) -> None:
        """Add a value.

        Args:
            value: A value of 0 or more.
        """
        if self._value <= 0.0:
            self._value = value
        elif value > self._value:
            self._value *= STEP_FACTOR
        elif value < self._value:
            self._value /= STEP_FACTOR
