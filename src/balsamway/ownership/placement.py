"""Execution of the planner's changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance import Candidate, CandidateState, PlacementInput
from balsamway.clock import now
from balsamway.configuration import Weights
from balsamway.ownership.reshape import apply_plan_without_moves

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.balance import Plan, Planner
    from balsamway.ownership.handover import Handover
    from balsamway.ownership.load_source import LoadSource
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import KeyRange, ShardRecord

WRITE_TIMEOUT_SECONDS = 1.0
"""How long to try to write splits, merges and standbys."""


class Placement:
    """Plans one shard's changes and executes them in the plan's order.

    Args:
        context: The leader's components.
        handover: Carries out the moves.
        planner: Decides on the changes.
        loads: The loads that gateways reported; None if none are reported.
        weights: Returns the workspace's current weights.
    """

    def __init__(
        self,
        context: ShardContext,
        handover: Handover,
        planner: Planner,
        loads: LoadSource | None,
        weights: Callable[[], Weights],
    ) -> None:
        self._context = context
        self._handover = handover
        self._planner = planner
        self._loads = loads
        self._weights = weights

    async def rebalance(self) -> None:
        """Make one plan and execute it.

        The store is written only if the plan changes something.
        """
        plan = self._planner.plan(self._input())
        await self._reshape(plan)
        if plan.moves:
            await self._handover.move(plan.moves)

    def _input(self) -> PlacementInput:
        record = self._context.state.record
        shard = record.shard
        loads = self._loads
        ranges = [entry.range for entry in record.slices]
        return PlacementInput(
            record.slices,
            self._candidates(),
            loads.slice_loads(shard, ranges) if loads else (),
            loads.hot_keys(shard) if loads else (),
            self._weights(),
            now(),
        )

    def _candidates(self) -> tuple[Candidate, ...]:
        return tuple(
            Candidate(name, keeper.target.zone, self._candidate_state(name))
            for name, keeper in sorted(self._context.keepers.items())
        )

    def _candidate_state(self, name: str) -> CandidateState:
        keeper = self._context.keepers[name]
        if keeper.is_draining:
            return CandidateState.LEAVING
        return CandidateState.LIVE if keeper.answers else CandidateState.LOST

    async def _reshape(self, plan: Plan) -> None:
        state = self._context.state
        if (
            apply_plan_without_moves(state.record, plan, self._is_busy).slices
            == state.record.slices
        ):
            return

        def change(record: ShardRecord) -> ShardRecord:
            return apply_plan_without_moves(record, plan, self._is_busy)

        give_up_at = now() + WRITE_TIMEOUT_SECONDS
        await self._context.writer.update(change, give_up_at)
        self._context.views.refresh()

    def _is_busy(self, searched: KeyRange) -> bool:
        state = self._context.state
        return state.is_reserved(searched) or state.is_blocked(searched)
