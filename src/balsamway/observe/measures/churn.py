"""Measures how much of the key space and traffic changed owner."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class Churn:
    """What moved within a period, and the minimum that had to move."""

    seconds: float
    """The length of the period."""
    moves: int
    """How many slices changed owner."""
    key_space: float
    """The sum over all moves of the fraction of the key space moved."""
    traffic: float
    """The sum over all moves of the fraction of the traffic moved."""
    least_key_space: float = 0.0
    """The fraction of the key space that joins and leaves forced to move."""
    least_traffic: float = 0.0
    """The fraction of the traffic that joins and leaves forced to move."""

    @property
    def key_space_per_hour(self) -> float:
        """The fraction of the key space moved per hour beyond the minimum."""
        return self._per_hour(self.key_space - self.least_key_space)

    @property
    def traffic_per_hour(self) -> float:
        """The fraction of the traffic moved per hour beyond the minimum."""
        return self._per_hour(self.traffic - self.least_traffic)

    @property
    def over_minimum(self) -> float:
        """The key space moved over its minimum; 0 where the minimum is 0."""
        if self.least_key_space <= 0.0:
            return 0.0
        return self.key_space / self.least_key_space

    def _per_hour(self, fraction: float) -> float:
        if self.seconds <= 0.0:
            return 0.0
        return max(fraction, 0.0) * SECONDS_PER_HOUR / self.seconds
