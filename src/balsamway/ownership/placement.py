"""Carries out what the planner wants changed."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.balance import Candidate, CandidateState, PlacementInput
from balsamway.configuration import Weights
from balsamway.ownership._clock import now
from balsamway.slices import KeyRange, SliceEntry

if TYPE_CHECKING:
    from balsamway.balance import Move, Plan, Planner, Split
    from balsamway.ownership.handover import Handover
    from balsamway.ownership.load_source import LoadSource
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.slices import ShardRecord

WRITE_TIMEOUT_SECONDS = 1.0


class Placement:
    """Plans one shard's changes and makes them, in the plan's order.

    Args:
        context: The leader's parts.
        handover: Makes the moves.
        planner: Decides.
        loads: The loads that gateways reported; None where nothing reports.
        weights: What the member weighs.
    """

    def __init__(
        self,
        context: ShardContext,
        handover: Handover,
        planner: Planner,
        loads: LoadSource | None,
        weights: Weights,
    ) -> None:
        self._context = context
        self._handover = handover
        self._planner = planner
        self._loads = loads
        self._weights = weights

    async def improve(self) -> None:
        """Plans once and carries the plan out.

        The store is written only where something changes.
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
            self._weights,
            now(),
        )

    def _candidates(self) -> tuple[Candidate, ...]:
        return tuple(
            Candidate(name, keeper.server.zone, self._candidate_state(name))
            for name, keeper in sorted(self._context.keepers.items())
        )

    def _candidate_state(self, name: str) -> CandidateState:
        keeper = self._context.keepers[name]
        if keeper.leaving:
            return CandidateState.LEAVING
        return CandidateState.LIVE if keeper.answers else CandidateState.LOST

    async def _reshape(self, plan: Plan) -> None:
        wanted = [
            one
            for one in plan.standbys
            if (entry := self._context.state.entry(one.range)) is not None
            and entry.standby != one.to
        ]
        if not (plan.splits or plan.merges or wanted):
            return

        def change(record: ShardRecord) -> ShardRecord:
            slices = list(record.slices)
            slices = [part for one in slices for part in self._split(one, plan.splits)]
            slices = self._merge(slices, plan.merges)
            slices = [self._with_standby(one, wanted) for one in slices]
            return replace(record, slices=tuple(slices), version=record.version + 1)

        give_up_at = now() + WRITE_TIMEOUT_SECONDS
        await self._context.writer.update(change, give_up_at)
        self._context.views.refresh()

    def _split(self, entry: SliceEntry, splits: tuple[Split, ...]) -> list[SliceEntry]:
        if self._context.state.is_reserved(entry.range):
            return [entry]
        cuts = {at for one in splits if one.range == entry.range for at in one.at}
        inside = sorted(
            at for at in cuts if at in entry.range and at > entry.range.start
        )
        bounds = [entry.range.start, *inside, entry.range.end]
        return [
            replace(entry, range=KeyRange(start, end))
            for start, end in itertools.pairwise(bounds)
        ]

    def _merge(
        self, slices: list[SliceEntry], merges: tuple[KeyRange, ...]
    ) -> list[SliceEntry]:
        for merge in merges:
            parts = [
                one for one in slices if merge.start <= one.range.start < merge.end
            ]
            if not self._may_merge(parts, merge):
                continue
            epoch = max(one.epoch for one in parts)
            at = slices.index(parts[0])
            merged = replace(parts[0], range=merge, epoch=epoch)
            slices[at : at + len(parts)] = [merged]
        return slices

    def _may_merge(self, parts: list[SliceEntry], merge: KeyRange) -> bool:
        if len(parts) < 2 or len({(one.owner, one.moving_to) for one in parts}) > 1:
            return False
        if (parts[0].range.start, parts[-1].range.end) != (merge.start, merge.end):
            return False
        state = self._context.state
        return not any(
            state.is_reserved(one.range) or state.is_blocked(one.range) for one in parts
        )

    def _with_standby(self, entry: SliceEntry, wanted: list[Move]) -> SliceEntry:
        for one in wanted:
            if one.range == entry.range and one.to != entry.owner:
                return replace(entry, standby=one.to)
        return entry
