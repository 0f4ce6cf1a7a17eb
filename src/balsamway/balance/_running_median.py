"""A running median in constant memory."""

from __future__ import annotations

STEP = 1.02
"""The factor by which one value may change the median."""


class RunningMedian:
    """Follows the median of a stream of positive values.

    Each value moves the median one step towards itself, so it settles where
    as many values are above as below, however far off some of them are.
    """

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        """The median; 0 before the first value."""
        return self._value

    def add(self, value: float) -> None:
        """Takes in a value.

        Args:
            value: A value of 0 or more.
        """
        if self._value <= 0.0:
            self._value = value
        elif value > self._value:
            self._value *= STEP
        elif value < self._value:
            self._value /= STEP
