"""Plans on which targets the slices of one shard should be."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance._assignment import assign_unassigned
from balsamway.balance._colocation import colocate_light
from balsamway.balance._fair_share import FairShare
from balsamway.balance._merging import merge_cold
from balsamway.balance._move_budget import MoveBudget
from balsamway.balance._plan_state import PlanState
from balsamway.balance._rebalance import rebalance
from balsamway.balance._splitting import split_heavy
from balsamway.balance._standbys import choose_standbys
from balsamway.balance.placement_limits import PlacementLimits
from balsamway.balance.plan import Plan
from balsamway.balance.rebalance_policy import RebalancePolicy

if TYPE_CHECKING:
    from balsamway.balance._planned_slice import PlannedSlice
    from balsamway.balance.placement_input import PlacementInput
    from balsamway.balance.split import Split
    from balsamway.slices import KeyRange

MIN_MOVE_INTERVAL_SECONDS = 5.0
"""How long a slice stays with its owner after a move to balance the load."""

MIN_MERGE_AGE_SECONDS = 60.0
"""How old a slice must be before it is merged, or moved to be merged."""


OBSERVATION_SECONDS = 15.0
"""How long loads are observed before anything moves to balance the load."""


class PlacementPlanner:
    """Plans one shard. The same inputs and seed give the same plan.

    Slices move off draining and lost targets at once. Moves that only balance
    the load begin when a target's load is well off its fair share, end when
    all loads are nearly even, and are limited by a budget. The workspace's
    weights determine all three.
    """

    def __init__(self, seed: int = 0, limits: PlacementLimits | None = None) -> None:
        """Create a planner without history.

        Args:
            seed: Breaks ties between targets, differently for each shard.
            limits: Limits on the number of slices.
        """
        self._seed = seed
        self._limits = limits or PlacementLimits()
        self._budget = MoveBudget()
        self._is_rebalancing = False
        self._loads_known_since: float | None = None
        self._moved_at: dict[KeyRange, float] = {}
        self._seen_at: dict[KeyRange, float] = {}

    def plan(self, state: PlacementInput) -> Plan:
        """Plan the next changes of the shard.

        Args:
            state: The present state of the shard.

        Returns:
            The changes, or an empty plan if no change is worth its cost.
        """
        self._update_history(state)
        plan_state = PlanState(state, self._seed)
        if not plan_state.usable_targets:
            return Plan()
        policy = RebalancePolicy.of(state.weights)
        self._budget.refill(
            state.now, policy.budget_fraction_per_minute, policy.burst_fraction
        )
        fair_share = FairShare.of(plan_state)
        merges = merge_cold(
            plan_state,
            fair_share,
            self._limits.merge_threshold,
            lambda slice_range: self._is_old(slice_range, state.now),
        )
        assign_unassigned(plan_state)
        colocate_light(
            plan_state,
            fair_share,
            self._budget,
            self._limits.colocation_threshold,
            lambda planned: self._is_old(planned.range, state.now),
        )
        splits = self._balance_load(plan_state, policy, state.now)
        standbys = choose_standbys(plan_state)
        return Plan(splits, merges, tuple(plan_state.moves), standbys)

    def dump(self) -> dict[str, object]:
        """Return the planner's state for the state dump."""
        return {
            "is_rebalancing": self._is_rebalancing,
            "budget_share": self._budget.fraction,
            "slices_moved_lately": len(self._moved_at),
        }

    def _balance_load(
        self, plan_state: PlanState, policy: RebalancePolicy, now: float
    ) -> tuple[Split, ...]:
        """Plan the splits and moves that balance the load, if it is uneven.

        Returns:
            The splits. The moves are added to the state of the plan.
        """
        fair_share = FairShare.of(plan_state)
        self._is_rebalancing = self._has_observed_loads(now) and self._is_unbalanced(
            plan_state, fair_share, policy
        )
        if not self._is_rebalancing:
            return ()
        room = self._limits.max_slices - len(plan_state.slices)
        splits = split_heavy(plan_state, fair_share, room)
        earlier_move_count = len(plan_state.moves)
        rebalance(
            plan_state,
            FairShare.of(plan_state),
            self._budget,
            policy,
            lambda planned: self._is_settled(planned, now),
        )
        for move in plan_state.moves[earlier_move_count:]:
            self._moved_at[move.range] = now
        return splits

    def _is_unbalanced(
        self, plan_state: PlanState, fair_share: FairShare, policy: RebalancePolicy
    ) -> bool:
        """Return whether rebalancing should begin, or continue."""
        relative_loads = [
            fair_share.relative_load(plan_state, candidate.name)
            for candidate in plan_state.usable_targets
        ]
        most = max(relative_loads)
        least = min(relative_loads)
        if self._is_rebalancing:
            return most > policy.end_ratio or least < 1.0 / policy.end_ratio
        return most > policy.start_ratio or least < 1.0 / policy.start_ratio

    def _has_observed_loads(self, now: float) -> bool:
        known_since = self._loads_known_since
        return known_since is not None and now - known_since >= OBSERVATION_SECONDS

    def _is_settled(self, planned: PlannedSlice, now: float) -> bool:
        moved_at = self._moved_at.get(planned.range)
        return moved_at is None or now - moved_at >= MIN_MOVE_INTERVAL_SECONDS

    def _is_old(self, slice_range: KeyRange, now: float) -> bool:
        return now - self._seen_at.get(slice_range, now) >= MIN_MERGE_AGE_SECONDS

    def _update_history(self, state: PlacementInput) -> None:
        """Record when loads and slices were first seen, and drop old moves."""
        if self._loads_known_since is None and any(
            slice_load.load > 0.0 for slice_load in state.loads
        ):
            self._loads_known_since = state.now
        self._seen_at = {
            entry.range: self._seen_at.get(entry.range, state.now)
            for entry in state.slices
        }
        self._moved_at = {
            slice_range: moved_at
            for slice_range, moved_at in self._moved_at.items()
            if state.now - moved_at < MIN_MOVE_INTERVAL_SECONDS
        }
