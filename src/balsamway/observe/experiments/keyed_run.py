"""Carries a keyed workload under one placement policy."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from balsamway.balance import (
    Candidate,
    CandidateState,
    LoadEstimate,
    LoadRecorder,
    PlacementInput,
)
from balsamway.observe.experiments.keyed_trace import WINDOW_SECONDS, KeyedTrace, Moved
from balsamway.observe.experiments.shard_table import ShardTable
from balsamway.observe.experiments.slot_target import SlotTarget
from balsamway.observe.experiments.target_event import TargetChange, TargetEvent
from balsamway.slices import POSITION_END, ShardId

if TYPE_CHECKING:
    from balsamway.balance import Plan, Planner
    from balsamway.configuration import Weights
    from balsamway.observe.experiments.arrival import Arrival
    from balsamway.observe.experiments.keyed_workload import KeyedWorkload
    from balsamway.observe.measures import Imbalance

SHARD = ShardId("workspace", "service")

HOLD_SECONDS = 0.02
"""How long requests wait while their slice is handed over."""


@dataclass(frozen=True, slots=True)
class KeyedSetup:
    """What all policies of one experiment have in common."""

    workload: KeyedWorkload
    seconds: int
    seed: int
    weights: Weights
    targets: int = 12
    zones: int = 4
    slots: int = 3
    slices: int = 256
    events: tuple[TargetEvent, ...] = ()


class KeyedRun:
    """One policy on the arrivals of a setup."""

    def __init__(self, setup: KeyedSetup, planner: Planner) -> None:
        """Prepares a run.

        Args:
            setup: The workload and the targets.
            planner: The policy.
        """
        self.trace = KeyedTrace()
        self.windows: list[Imbalance] = []
        self._setup = setup
        self._planner = planner
        self._table = ShardTable(setup.slices)
        self._estimate = LoadEstimate()
        self._recorders = [LoadRecorder() for _ in range(setup.workload.gateways)]
        self._candidates = {
            name: Candidate(name, f"zone-{index % setup.zones}")
            for index, name in enumerate(_names(setup.targets))
        }
        self._targets = {name: SlotTarget(setup.slots) for name in self._candidates}
        self.owned_share: dict[str, float] = {}
        """The share of the key space that a target had when it changed."""
        self._failed: set[str] = set()
        self._held_until: dict[int, float] = {}

    def run(self) -> KeyedTrace:
        """Carries the whole workload.

        Returns:
            What was measured.
        """
        self._plan(0.0)
        arrivals = self._setup.workload.seconds(self._setup.seed, self._setup.seconds)
        steady = set(self._candidates)
        for second, requests in enumerate(arrivals):
            self._change_targets(second)
            for request in requests:
                self._carry(request)
            self._report()
            self._plan(second + 1.0)
            steady &= self._live()
            if (second + 1) % WINDOW_SECONDS == 0:
                window = second // WINDOW_SECONDS
                self.windows.append(self.trace.close_window(window, sorted(steady)))
                steady = self._live()
        return self.trace

    def _carry(self, request: Arrival) -> None:
        entry = self._table.find(request.position)
        if entry.owner in self._failed:
            self.trace.on_refused(request.at)
            return
        start = max(request.at, self._held_until.get(entry.range.start, 0.0))
        end = self._targets[entry.owner].serve(start, request.service_seconds)
        self._recorders[request.gateway].record(SHARD, request.position, end - start)
        self.trace.on_run(
            entry.owner,
            request.position,
            request.at,
            request.service_seconds,
            end - request.at,
        )

    def _report(self) -> None:
        ranges = self._table.ranges
        for index, recorder in enumerate(self._recorders):
            for shard in recorder.shards:
                report = recorder.take(shard, 1.0, ranges)
                self._estimate.update(f"gateway-{index}", report, 0.0)

    def _plan(self, now: float) -> None:
        state = PlacementInput(
            self._table.entries,
            tuple(self._candidates.values()),
            self._estimate.loads(self._table.ranges, now),
            self._estimate.hot_keys(),
            self._setup.weights,
            now,
        )
        plan = self._planner.plan(state)
        self._apply(plan, now)

    def _apply(self, plan: Plan, now: float) -> None:
        moved = self._table.apply(plan)
        self._held_until = {}
        count = len(self._table.ranges)
        self.trace.slices_at_most = max(self.trace.slices_at_most, count)
        if not moved:
            return
        loads = self._estimate.loads(self._table.ranges, now)
        total = sum(each.load for each in loads) or 1.0
        by_range = {each.range: each.load for each in loads}
        for entry in moved:
            self._held_until[entry.range.start] = now + HOLD_SECONDS
            key_share = entry.range.size / POSITION_END
            traffic_share = by_range[entry.range] / total
            self.trace.on_moved(Moved(now, key_share, traffic_share))

    def _change_targets(self, second: int) -> None:
        for event in self._setup.events:
            if event.at == second:
                self._change(event)

    def _change(self, event: TargetEvent) -> None:
        owned = sum(
            entry.range.size
            for entry in self._table.entries
            if entry.owner == event.target
        )
        self.owned_share.setdefault(event.target, owned / POSITION_END)
        if event.change is TargetChange.FAILS:
            self._failed.add(event.target)
            return
        state = CandidateState(event.change.value)
        if event.target in self._candidates:
            known = self._candidates[event.target]
            self._candidates[event.target] = replace(known, state=state)
            return
        zone = f"zone-{len(self._candidates) % self._setup.zones}"
        self._candidates[event.target] = Candidate(event.target, zone, state)
        self._targets[event.target] = SlotTarget(self._setup.slots)

    def _live(self) -> set[str]:
        return {
            each.name
            for each in self._candidates.values()
            if each.state is CandidateState.LIVE and each.name not in self._failed
        }


def _names(count: int) -> list[str]:
    return [f"server-{index:03}" for index in range(count)]
