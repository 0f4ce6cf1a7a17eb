"""Admit requests to the targets of a group and queue the others."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.gateway.waiter import Waiter
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_group import TargetGroup
    from balsamway.gateway.target_state import TargetState

MAX_QUEUED_REQUESTS = 1024
"""The maximum number of requests that wait in the queue of one group."""
MIN_RETRY_AFTER_SECONDS = 0.1
"""The minimum `Retry-After` of a request that is refused as overloaded."""


@dataclass(frozen=True, slots=True)
class NotYetAdmitted:
    """The wait ended before the request was admitted or refused."""


class Admission:
    """Admit requests to a group of targets by urgency, then by deadline.

    A request that no target can answer before its deadline is refused at
    once. When the queue is full, the least urgent request is refused.
    """

    def __init__(self, group: TargetGroup) -> None:
        """Initialize an empty queue for a group of targets.

        Args:
            group: The targets that the requests wait for.
        """
        self._group = group
        self._waiters: list[Waiter] = []
        self._arrival_numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiters)

    def try_acquire(self, attempt: Attempt) -> TargetState | None:
        """Admit an attempt if it does not have to wait.

        Args:
            attempt: The attempt to admit.

        Returns:
            The target, which counts the attempt until its `release` is called.
            None if requests are waiting or no target has capacity.
        """
        if self._waiters:
            return None
        state = self._group.select(attempt)
        if state is not None:
            state.acquire()
        return state

    async def acquire(
        self, attempt: Attempt, until: float = math.inf
    ) -> TargetState | NotRun | NotYetAdmitted:
        """Wait for a target that has capacity.

        Args:
            attempt: The attempt to admit.
            until: When to stop waiting, in event loop time. The request's
                deadline ends the wait in any case.

        Returns:
            The target, which counts the attempt until its `release` is called.
            `NotRun` if the attempt is refused, `NotYetAdmitted` if the wait
            ended at `until`.
        """
        state = self.try_acquire(attempt)
        if state is not None:
            return state
        if self._group.is_empty:
            return NotRun(Reason.NO_TARGET, retry_after_seconds=1.0)
        waiter = self._new_waiter(attempt)
        refused = self._refuse_on_arrival(waiter)
        if refused is not None:
            return refused
        bisect.insort(self._waiters, waiter)
        return await self._wait(waiter, until)

    def admit_waiting(self) -> None:
        """Admit waiting requests while the targets have capacity."""
        while self._waiters:
            state = self._group.select(self._waiters[0].attempt)
            if state is None:
                return
            waiter = self._waiters.pop(0)
            if waiter.admitted.done():
                continue
            if self._would_miss_deadline(waiter):
                waiter.admitted.set_result(self._overloaded(0))
                continue
            state.acquire()
            waiter.admitted.set_result(state)

    def _new_waiter(self, attempt: Attempt) -> Waiter:
        request = attempt.request
        return Waiter(
            -int(request.kind.urgency),
            request.deadline,
            next(self._arrival_numbers),
            attempt,
            asyncio.get_running_loop().create_future(),
        )

    def _refuse_on_arrival(self, waiter: Waiter) -> NotRun | None:
        ahead = bisect.bisect(self._waiters, waiter)
        if self._would_miss_deadline(waiter, self._expected_wait(ahead)):
            return self._overloaded(ahead)
        if len(self._waiters) < MAX_QUEUED_REQUESTS:
            return None
        if ahead == len(self._waiters):
            return self._overloaded(ahead)
        last = self._waiters.pop()
        if not last.admitted.done():
            last.admitted.set_result(self._overloaded(ahead))
        return None

    def _expected_wait(self, ahead: int) -> float:
        rate = self._group.responses_per_second
        return (ahead + 1) / rate if rate else 0.0

    def _would_miss_deadline(self, waiter: Waiter, wait: float = 0.0) -> bool:
        now = asyncio.get_running_loop().time()
        return now + wait + self._group.expected_latency > waiter.deadline

    async def _wait(
        self, waiter: Waiter, until: float
    ) -> TargetState | NotRun | NotYetAdmitted:
        try:
            async with asyncio.timeout_at(min(until, waiter.deadline)):
                return await waiter.admitted
        except TimeoutError:
            if waiter.admitted.done() and not waiter.admitted.cancelled():
                return waiter.admitted.result()
            self._remove(waiter)
            if until < waiter.deadline:
                return NotYetAdmitted()
            return self._overloaded(0)
        except asyncio.CancelledError:
            self._remove(waiter)
            if waiter.admitted.done() and not waiter.admitted.cancelled():
                self._release_admitted(waiter.admitted.result())
            raise

    def _remove(self, waiter: Waiter) -> None:
        index = bisect.bisect_left(self._waiters, waiter)
        if index < len(self._waiters) and self._waiters[index] is waiter:
            del self._waiters[index]

    def _release_admitted(self, admitted: TargetState | NotRun) -> None:
        if not isinstance(admitted, NotRun):
            admitted.release()

    def _overloaded(self, ahead: int) -> NotRun:
        return NotRun(
            Reason.OVERLOADED,
            "no target can answer before the deadline",
            max(MIN_RETRY_AFTER_SECONDS, self._expected_wait(ahead)),
        )
