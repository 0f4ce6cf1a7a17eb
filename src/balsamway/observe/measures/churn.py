"""How much of the keys and of the traffic changed owner."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_AN_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class Churn:
    """What moved in a time, and the least that had to."""

    seconds: float
    moves: int
    key_space: float
    """The sum, over all moves, of the share of the key space moved."""
    traffic: float
    """The sum, over all moves, of the share of the traffic moved."""
    least_key_space: float = 0.0
    """What joins and leaves made unavoidable, of the key space."""
    least_traffic: float = 0.0
    """What joins and leaves made unavoidable, of the traffic."""

    @property
    def key_space_an_hour(self) -> float:
        """The share of the key space moved an hour, beyond the least."""
        return self._an_hour(self.key_space - self.least_key_space)

    @property
    def traffic_an_hour(self) -> float:
        """The share of the traffic moved an hour, beyond the least."""
        return self._an_hour(self.traffic - self.least_traffic)

    @property
    def over_least(self) -> float:
        """The key space moved over the least possible; 0 for no least."""
        if self.least_key_space <= 0.0:
            return 0.0
        return self.key_space / self.least_key_space

    def _an_hour(self, share: float) -> float:
        if self.seconds <= 0.0:
            return 0.0
        return max(share, 0.0) * SECONDS_AN_HOUR / self.seconds
