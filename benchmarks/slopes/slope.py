"""A measured quantity as a line over one size."""

from __future__ import annotations

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """The line of least squares through the points measured."""

    role: str
    quantity: str
    unit: str
    size: str
    """What the quantity grows with."""
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def each(self) -> float:
        """What one more of the size adds."""
        return statistics.linear_regression(self.sizes, self.values).slope

    @property
    def fixed(self) -> float:
        """What is left at size 0."""
        return statistics.linear_regression(self.sizes, self.values).intercept

    def at(self, size: float) -> float:
        """Gives the value on the line at a size."""
        return self.fixed + self.each * size
