"""Runs a workload of requests for keys under one placement policy."""

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
from balsamway.observe.experiments.keyed_trace import (
    WINDOW_SECONDS,
    KeyedTrace,
    SliceMove,
)
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

PAUSE_SECONDS = 0.02
"""How long requests are paused while their slice moves to a new owner."""


@dataclass(frozen=True, slots=True)
class KeyedSetup:
    """The conditions that all policies of one experiment share."""

    workload: KeyedWorkload
    seconds: int
    """The simulated length of the run."""
    seed: int
    weights: Weights
    targets: int = 12
    """The number of targets at the start."""
    zones: int = 4
    slots: int = 3
    """How many requests each target runs at once."""
    slices: int = 256
    """The number of slices at the start."""
    events: tuple[TargetEvent, ...] = ()


class KeyedRun:
    """Runs one policy on the arrivals of a setup."""

    def __init__(self, setup: KeyedSetup, planner: Planner) -> None:
        """Prepare a run.

        Args:
            setup: The workload and the targets.
            planner: The placement policy.
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
            for index, name in enumerate(_target_names(setup.targets))
        }
        self._targets = {name: SlotTarget(setup.slots) for name in self._candidates}
        self.owned_share: dict[str, float] = {}
        """Each target's share of the key space before its first event."""
        self._failed: set[str] = set()
        self._paused_until: dict[int, float] = {}

    def run(self) -> KeyedTrace:
        """Run the whole workload.

        Returns:
            The measurements.
        """
        self._run_planner(0.0)
        arrivals = self._setup.workload.seconds(self._setup.seed, self._setup.seconds)
        live_throughout = set(self._candidates)
        for second, requests in enumerate(arrivals):
            self._apply_events(second)
            for request in requests:
                self._serve_request(request)
            self._report_loads()
            self._run_planner(second + 1.0)
            live_throughout &= self._live_targets()
            if (second + 1) % WINDOW_SECONDS == 0:
                window = second // WINDOW_SECONDS
                self.windows.append(
                    self.trace.close_window(window, sorted(live_throughout))
                )
                live_throughout = self._live_targets()
        return self.trace

    def _serve_request(self, request: Arrival) -> None:
        entry = self._table.find(request.position)
        if entry.owner in self._failed:
            self.trace.record_refusal(request.at)
            return
        start = max(request.at, self._paused_until.get(entry.range.start, 0.0))
        end = self._targets[entry.owner].serve(start, request.service_seconds)
        self._recorders[request.gateway].record(SHARD, request.position, end - start)
        self.trace.record_run(
            entry.owner,
            request.position,
            request.at,
            request.service_seconds,
            end - request.at,
        )

    def _report_loads(self) -> None:
        ranges = self._table.ranges
        for index, recorder in enumerate(self._recorders):
            for shard in recorder.shards:
                report = recorder.take(shard, 1.0, ranges)
                self._estimate.update(f"gateway-{index}", report, 0.0)

    def _run_planner(self, now: float) -> None:
        state = PlacementInput(
            self._table.entries,
            tuple(self._candidates.values()),
            self._estimate.loads(self._table.ranges, now),
            self._estimate.hot_keys(),
            self._setup.weights,
            now,
        )
        plan = self._planner.plan(state)
        self._apply_plan(plan, now)

    def _apply_plan(self, plan: Plan, now: float) -> None:
        moved = self._table.apply(plan)
        self._paused_until = {}
        count = len(self._table.ranges)
        self.trace.max_slices = max(self.trace.max_slices, count)
        if not moved:
            return
        loads = self._estimate.loads(self._table.ranges, now)
        total = sum(load.load for load in loads) or 1.0
        by_range = {load.range: load.load for load in loads}
        for entry in moved:
            self._paused_until[entry.range.start] = now + PAUSE_SECONDS
            key_share = entry.range.size / POSITION_END
            traffic_share = by_range[entry.range] / total
            self.trace.record_move(SliceMove(now, key_share, traffic_share))

    def _apply_events(self, second: int) -> None:
        for event in self._setup.events:
            if event.at == second:
                self._apply_event(event)

    def _apply_event(self, event: TargetEvent) -> None:
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

    def _live_targets(self) -> set[str]:
        return {
            candidate.name
            for candidate in self._candidates.values()
            if candidate.state is CandidateState.LIVE
            and candidate.name not in self._failed
        }


def _target_names(count: int) -> list[str]:
    return [f"server-{index:03}" for index in range(count)]
