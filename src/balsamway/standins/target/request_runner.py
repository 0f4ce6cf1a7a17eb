"""Runs the requests that a target stand-in admits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.standins.journal import Run, RunOutcome
from balsamway.standins.target.attempt_result import (
    AttemptApplied,
    AttemptRefused,
    AttemptResult,
)
from balsamway.standins.target.known_request import KnownRequest
from balsamway.standins.target.slot_queue import SlotQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.slices import KeyRange, ShardId
    from balsamway.standins.target.attempt import Attempt
    from balsamway.standins.target.grant_table import GrantTable
    from balsamway.standins.target.pause import Pause
    from balsamway.standins.target.target_settings import TargetSettings

IDLE_POLL_INTERVAL_SECONDS = 0.002
"""The interval at which a release checks whether its slices are idle."""


class RequestRunner:
    """Admits requests under grants, runs them and applies their effects.

    The effect of a request is one step of its key's counter. The attributes
    `slowness`, `shedding` and `is_stopping` are set by the stand-in.

    Args:
        settings: The target's settings.
        grants: The grants that the target holds.
        pause: The gate that suspends processing.
        rng: The source of random numbers for run times.
        record_run: Receives the record of each attempt.
    """

    def __init__(
        self,
        settings: TargetSettings,
        grants: GrantTable,
        pause: Pause,
        rng: random.Random,
        record_run: Callable[[Run], None],
    ) -> None:
        self._settings = settings
        self._grants = grants
        self._pause = pause
        self._rng = rng
        self._record_run = record_run
        self._slots = SlotQueue(settings.slots, settings.queue_limit)
        self._known_requests: dict[str, KnownRequest] = {}
        self._counters: dict[str, int] = {}
        self._in_progress: set[Attempt] = set()
        self.slowness = 1.0
        self.shedding = False
        self.is_stopping = False

    @property
    def load(self) -> float:
        """The number of running and waiting requests per slot."""
        return self._slots.load

    @property
    def in_progress(self) -> int:
        """The number of received attempts that have not ended."""
        return len(self._in_progress)

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt.

        If the calling task is cancelled, an attempt whose effect has not been
        applied is cancelled as well.

        Args:
            attempt: The attempt.

        Returns:
            The applied effect, or the reason why the attempt was refused.
        """
        known = self._known_requests.setdefault(attempt.request_id, KnownRequest())
        known.received_ids.add(attempt.attempt_id)
        task = asyncio.ensure_future(self._run_recorded(attempt, known))
        known.tasks.add(task)
        self._in_progress.add(attempt)
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            known.tasks.discard(task)
            self._in_progress.discard(attempt)
        if task.cancelled():
            return AttemptRefused("cancelled")
        return task.result()

    def cancel(self, request_id: str, attempt_id: str = "") -> str:
        """Cancel the attempts of a request that has not run.

        Args:
            request_id: The request's id.
            attempt_id: The id of the attempt whose outcome is asked for.

        Returns:
            `ran` if an effect of the request was applied, `unknown` if the
            attempt was not received, else `not-run`.
        """
        known = self._known_requests.get(request_id)
        if known is not None and known.has_run:
            return "ran"
        if known is None or attempt_id not in known.received_ids:
            # The attempt may still arrive.
            return "unknown"
        for task in known.tasks:
            task.cancel()
        return "not-run"

    async def wait_until_idle(
        self, shard: ShardId, ranges: tuple[KeyRange, ...]
    ) -> None:
        """Wait until no request in progress has a key in the ranges.

        Args:
            shard: The shard of the ranges.
            ranges: The ranges of hash positions.
        """
        while self._has_request_in(shard, ranges):
            await asyncio.sleep(IDLE_POLL_INTERVAL_SECONDS)

    async def _run_recorded(
        self, attempt: Attempt, known: KnownRequest
    ) -> AttemptResult:
        try:
            return await self._run_in_slot(attempt, known)
        except asyncio.CancelledError:
            outcome = RunOutcome.CUT_OFF if self.is_stopping else RunOutcome.CANCELLED
            self._record(attempt, attempt.admitted_at, outcome)
            raise

    async def _run_in_slot(
        self, attempt: Attempt, known: KnownRequest
    ) -> AttemptResult:
        refusal_reason = self._find_admission_refusal(attempt)
        if refusal_reason:
            return self._refuse(attempt, attempt.admitted_at, refusal_reason)
        if not await self._slots.acquire(attempt.deadline - self._now()):
            return self._refuse(attempt, attempt.admitted_at, "deadline-exceeded")
        start = self._now()
        try:
            await asyncio.sleep(self._draw_run_time(attempt))
            await self._pause.wait()
        finally:
            self._slots.release()
        if not self._is_covered(attempt):
            return self._refuse(attempt, start, "grant-lapsed")
        return self._apply(attempt, start, known)

    def _find_admission_refusal(self, attempt: Attempt) -> str:
        if self.shedding or self._slots.is_full:
            return "target-shed"
        if attempt.deadline <= self._now():
            return "deadline-exceeded"
        if self._is_covered(attempt):
            return ""
        assert attempt.shard is not None
        return self._grants.refusal_reason(attempt.shard, self._target_time())

    def _is_covered(self, attempt: Attempt) -> bool:
        if attempt.shard is None or not self._settings.checks_grants:
            return True
        return self._grants.covers(
            attempt.shard, attempt.position, attempt.epoch, self._target_time()
        )

    def _draw_run_time(self, attempt: Attempt) -> float:
        settings = self._settings
        times = settings.run_times_by_kind.get(attempt.kind, settings.run_times)
        return times.draw(self._rng) * self.slowness

    def _apply(
        self, attempt: Attempt, start: float, known: KnownRequest
    ) -> AttemptApplied:
        known.has_run = True
        counter = self._counters.get(attempt.key, 0) + 1
        self._counters[attempt.key] = counter
        self._record(attempt, start, RunOutcome.APPLIED, counter)
        return AttemptApplied(counter)

    def _refuse(self, attempt: Attempt, start: float, reason: str) -> AttemptRefused:
        self._record(attempt, start, RunOutcome.REFUSED)
        return AttemptRefused(reason)

    def _record(
        self, attempt: Attempt, start: float, outcome: RunOutcome, counter: int = 0
    ) -> None:
        run = Run(
            target=self._settings.name,
            workspace=attempt.workspace,
            service=attempt.service,
            kind=attempt.kind,
            request_id=attempt.request_id,
            key=attempt.key,
            position=attempt.position,
            shard=str(attempt.shard or ""),
            epoch=attempt.epoch,
            admitted=attempt.admitted_at,
            start=start,
            end=self._now(),
            outcome=outcome,
            counter=counter,
        )
        self._record_run(run)

    def _has_request_in(self, shard: ShardId, ranges: tuple[KeyRange, ...]) -> bool:
        return any(
            attempt.shard == shard and attempt.position in key_range
            for attempt in self._in_progress
            for key_range in ranges
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _target_time(self) -> float:
        return self._now() + self._settings.clock_offset_seconds
