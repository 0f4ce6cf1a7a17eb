"""The distribution of a target's run times."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(frozen=True, slots=True)
class RunTimes:
    """A log-normal distribution of run times."""

    median_seconds: float = 0.004
    sigma: float = 0.4
    """The standard deviation of the natural logarithm of the run time."""

    def draw(self, rng: random.Random) -> float:
        """Draw the time of one run.

        Args:
            rng: The source of random numbers.

        Returns:
            The run time, in seconds.
        """
        return self.median_seconds * math.exp(rng.gauss(0.0, self.sigma))
