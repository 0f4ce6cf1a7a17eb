"""How a workspace's weights decide between balance and moves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration import Weights

END_FRACTION = 0.6
"""Rebalancing ends at this fraction of the surplus at which it begins."""


@dataclass(frozen=True, slots=True)
class RebalancePolicy:
    """When rebalancing begins and ends, and how much it may move."""

    start_ratio: float
    """Rebalancing begins when a target has more than this times its fair
    share, or less than the fair share divided by it."""
    budget_fraction_per_minute: float
    """The fraction of the shard's load that may be moved in a minute."""
    max_moves: int
    """The most slices that one plan moves to balance the load."""

    @property
    def end_ratio(self) -> float:
        """Rebalancing ends when no target is this far off its fair share."""
        return 1.0 + (self.start_ratio - 1.0) * END_FRACTION

    @property
    def burst_fraction(self) -> float:
        """The fraction of the load that may be moved after a pause."""
        return self.budget_fraction_per_minute / 2.0

    @classmethod
    def of(cls, weights: Weights) -> RebalancePolicy:
        """Compute the policy from a workspace's weights.

        Args:
            weights: The weights of imbalance and unavailable time.

        Returns:
            The policy. The higher the weight of imbalance, the sooner and the
            more slices move.
        """
        total = weights.imbalance + weights.unavailable_time
        balance = weights.imbalance / total if total > 0 else 0.5
        return cls(
            start_ratio=1.25 - 0.18 * balance,
            budget_fraction_per_minute=0.1 + 0.9 * balance,
            max_moves=4 + round(28 * balance),
        )
