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

QUIET_POLL_SECONDS = 0.002


class RequestRunner:
    """Admits requests under grants, runs them in slots, applies effects.

    Args:
        settings: The target's settings.
        grants: What the target holds.
        pause: Where processing stands still.
        rng: Draws run times.
        note: Takes each attempt's record.
    """

    def __init__(
        self,
        settings: TargetSettings,
        grants: GrantTable,
        pause: Pause,
        rng: random.Random,
        note: Callable[[Run], None],
    ) -> None:
        self._settings = settings
        self._grants = grants
        self._pause = pause
        self._rng = rng
        self._note = note
        self._slots = SlotQueue(settings.slots, settings.queue_limit)
        self._known: dict[str, KnownRequest] = {}
        self._counters: dict[str, int] = {}
        self._in_progress: set[Attempt] = set()
        self.slowness = 1.0
        self.shedding = False
        self.stopping = False

    @property
    def load(self) -> float:
        """Requests in the target for each slot."""
        return self._slots.load

    @property
    def in_progress(self) -> int:
        """How many requests are admitted and not through."""
        return len(self._in_progress)

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Runs an attempt; cancelling the call cancels it before its effect.

        Args:
            attempt: The attempt.

        Returns:
            Whether its effect was applied.
        """
        known = self._known.setdefault(attempt.request_id, KnownRequest())
        known.received.add(attempt.attempt_id)
        task = asyncio.ensure_future(self._carry_out(attempt, known))
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
        """Cancels the attempts of a request.

        Args:
            request_id: The request's id.
            attempt_id: The id of the attempt that is asked about.

        Returns:
            `not-run`, `ran` or `unknown`.
        """
        known = self._known.get(request_id)
        if known is not None and known.ran:
            return "ran"
        if known is None or attempt_id not in known.received:
            # The attempt may still be on its way.
            return "unknown"
        for task in known.tasks:
            task.cancel()
        return "not-run"

    async def wait_quiet(self, shard: ShardId, ranges: tuple[KeyRange, ...]) -> None:
        """Waits until no admitted request is in the ranges.

        Args:
            shard: The shard.
            ranges: The ranges.
        """
        while self._is_busy(shard, ranges):
            await asyncio.sleep(QUIET_POLL_SECONDS)

    async def _carry_out(self, attempt: Attempt, known: KnownRequest) -> AttemptResult:
        try:
            return await self._run_in_slot(attempt, known)
        except asyncio.CancelledError:
            outcome = RunOutcome.CUT_OFF if self.stopping else RunOutcome.CANCELLED
            self._record(attempt, attempt.admitted, outcome)
            raise

    async def _run_in_slot(
        self, attempt: Attempt, known: KnownRequest
    ) -> AttemptResult:
        refusal = self._admission_refusal(attempt)
        if refusal:
            return self._refuse(attempt, attempt.admitted, refusal)
        if not await self._slots.take(attempt.deadline - self._now()):
            return self._refuse(attempt, attempt.admitted, "deadline-exceeded")
        start = self._now()
        try:
            await asyncio.sleep(self._run_time(attempt))
            await self._pause.wait()
        finally:
            self._slots.free()
        if not self._is_covered(attempt):
            return self._refuse(attempt, start, "grant-lapsed")
        return self._apply(attempt, start, known)

    def _admission_refusal(self, attempt: Attempt) -> str:
        if self.shedding or self._slots.is_full:
            return "target-shed"
        if attempt.deadline <= self._now():
            return "deadline-exceeded"
        if self._is_covered(attempt):
            return ""
        assert attempt.shard is not None
        return self._grants.refusal(attempt.shard, self._clock())

    def _is_covered(self, attempt: Attempt) -> bool:
        if attempt.shard is None or not self._settings.checks_grants:
            return True
        return self._grants.covers(
            attempt.shard, attempt.position, attempt.epoch, self._clock()
        )

    def _run_time(self, attempt: Attempt) -> float:
        settings = self._settings
        times = settings.run_times_by_kind.get(attempt.kind, settings.run_times)
        return times.draw(self._rng) * self.slowness

    def _apply(
        self, attempt: Attempt, start: float, known: KnownRequest
    ) -> AttemptApplied:
        known.ran = True
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
            admitted=attempt.admitted,
            start=start,
            end=self._now(),
            outcome=outcome,
            counter=counter,
        )
        self._note(run)

    def _is_busy(self, shard: ShardId, ranges: tuple[KeyRange, ...]) -> bool:
        return any(
            attempt.shard == shard and attempt.position in taken
            for attempt in self._in_progress
            for taken in ranges
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _clock(self) -> float:
        return self._now() + self._settings.clock_offset_seconds
