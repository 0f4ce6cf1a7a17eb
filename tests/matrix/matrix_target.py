from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.slices import position_of
from balsamway.standins.journal import Run, RunOutcome
from tests.fakes.target import FakeTarget, _Holding

if TYPE_CHECKING:
    from balsamway.slices import KeyRange, ShardId
    from balsamway.targets.orders import GrantReport, OrderRefused, ReleaseOrder
    from balsamway.targets.request import TargetRequest

RUN_SECONDS = 0.005
IDLE_POLL_SECONDS = 0.002
STOP_IN_RUN_SECONDS = 1.0


@dataclass(eq=False, slots=True)
class RunInProgress:
    """A request that a target has admitted."""

    request: TargetRequest
    admitted: float
    deadline: float
    cancelled: bool = False

    @property
    def position(self) -> int:
        return position_of(self.request.key)


class MatrixTarget(FakeTarget):
    """A fake target that runs requests and records each run."""

    def __init__(self, name: str, **parts: object) -> None:
        super().__init__(name, **parts)  # type: ignore[arg-type]
        self.runs: list[Run] = []
        self._in_progress: list[RunInProgress] = []
        self._releasing: list[tuple[ShardId, KeyRange]] = []

    @property
    def has_drained(self) -> bool:
        """Whether the target can stop without interrupting anything."""
        now = self.clock
        held = any(
            holding.ranges and holding.valid_until > now
            for holding in self._held.values()
        )
        return not held and not self._in_progress and not self._releasing

    async def stop_in_a_run(self) -> None:
        """Stop during the next request that is admitted within the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_IN_RUN_SECONDS):
                while not self._in_progress:
                    await asyncio.sleep(IDLE_POLL_SECONDS)
        for run in self._in_progress:
            self._record(run, RunOutcome.CUT_OFF)
        self.lose()

    async def run(self, request: TargetRequest) -> str:
        """Run a request and return the refusal reason, or an empty string."""
        now = self.now
        run = RunInProgress(request, now, now + request.timeout_seconds)
        refusal = self._refusal(run)
        if refusal:
            self._record(run, RunOutcome.REFUSED)
            return refusal
        self._in_progress.append(run)
        try:
            await asyncio.sleep(RUN_SECONDS)
            await self.running.wait()
        except asyncio.CancelledError:
            self._record(run, RunOutcome.CANCELLED)
            raise
        finally:
            self._in_progress.remove(run)
        return self._finish(run)

    async def release(self, order: ReleaseOrder) -> GrantReport | OrderRefused:
        holding = self._held.setdefault(order.shard, _Holding())
        if not self._accepts(holding, order.leader_epoch, order.generation):
            return self._refused(holding)
        releasing = [(order.shard, key_range) for key_range in order.ranges]
        self._releasing += releasing
        while self._is_busy(order) or not self.running.is_set():
            await asyncio.sleep(IDLE_POLL_SECONDS)
        for release in releasing:
            self._releasing.remove(release)
        self._close(order.shard)
        released = set(order.ranges)
        holding.ranges = tuple(
            held for held in holding.ranges if held.range not in released
        )
        self._reopen(order.shard)
        return self._state(order.shard)

    def is_running(self, request_id: str) -> bool:
        return any(run.request.request_id == request_id for run in self._in_progress)

    def cancel(self, request_id: str) -> None:
        for run in self._in_progress:
            if run.request.request_id == request_id:
                run.cancelled = True

    def _refusal(self, run: RunInProgress) -> str:
        request = run.request
        if request.timeout_seconds <= 0:
            return "deadline-exceeded"
        if request.shard is None:
            return ""
        if self._is_released(request.shard, run.position):
            return "grant-lapsed"
        if not self.checks or self.owns(request.shard, run.position, request.epoch):
            return ""
        return "wrong-epoch"

    def _finish(self, run: RunInProgress) -> str:
        request = run.request
        if self.lost or run.cancelled:
            return "cancelled"
        if self.now > run.deadline:
            self._record(run, RunOutcome.REFUSED)
            return "deadline-exceeded"
        if self.checks and request.shard is not None:
            if not self.owns(request.shard, run.position, request.epoch):
                self._record(run, RunOutcome.REFUSED)
                return "grant-lapsed"
        self._record(run, RunOutcome.APPLIED)
        return ""

    def _is_released(self, shard: ShardId, position: int) -> bool:
        return any(
            released == shard and position in key_range
            for released, key_range in self._releasing
        )

    def _is_busy(self, order: ReleaseOrder) -> bool:
        return any(
            run.request.shard == order.shard and run.position in key_range
            for run in self._in_progress
            for key_range in order.ranges
        )

    def _record(self, run: RunInProgress, outcome: RunOutcome) -> None:
        request = run.request
        self.runs.append(
            Run(
                target=self.name,
                workspace=request.workspace,
                service=request.service,
                kind=request.kind,
                request_id=request.request_id,
                key=request.key,
                position=run.position,
                shard=str(request.shard or ""),
                epoch=request.epoch,
                admitted=run.admitted,
                start=run.admitted,
                end=self.now,
                outcome=outcome,
            )
        )
