"""How a workspace's weights trade balance against moves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration import Weights

END_FRACTION = 0.6
"""Rebalancing ends at this part of the excess at which it begins."""


@dataclass(frozen=True, slots=True)
class PlacementTrade:
    """When rebalancing begins, and how much it may move."""

    start_ratio: float
    """Rebalancing begins when a target has more than this times its share."""
    budget_share_a_minute: float
    """The share of the shard's load that may be moved in a minute."""
    moves_at_once: int
    """How many slices one plan may move for balance."""

    @property
    def end_ratio(self) -> float:
        """Rebalancing ends when no target is this far from its share."""
        return 1.0 + (self.start_ratio - 1.0) * END_FRACTION

    @property
    def burst_share(self) -> float:
        """The share of the load that may be moved after a quiet time."""
        return self.budget_share_a_minute / 2.0

    @classmethod
    def of(cls, weights: Weights) -> PlacementTrade:
        """Works out the trade from a workspace's weights.

        Args:
            weights: What the workspace weighs.

        Returns:
            The trade; the more imbalance weighs, the sooner slices move.
        """
        total = weights.imbalance + weights.unavailable_time
        balance = weights.imbalance / total if total > 0 else 0.5
        return cls(
            start_ratio=1.25 - 0.18 * balance,
            budget_share_a_minute=0.1 + 0.9 * balance,
            moves_at_once=4 + round(28 * balance),
        )
