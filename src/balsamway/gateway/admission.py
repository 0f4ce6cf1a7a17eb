"""Admits requests to the targets of a group, and lets the others wait."""

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

WAITERS_AT_MOST = 1024
RETRY_AFTER_AT_LEAST_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StillWaiting:
    """The request was not admitted yet, and not refused either."""


class Admission:
    """Admits requests to a group of targets by urgency, then by deadline.

    A request that cannot be answered by its deadline is refused at once, and
    so is the least urgent one of too many that wait.
    """

    def __init__(self, group: TargetGroup) -> None:
        """Makes the queue of a group, in which nothing waits.

        Args:
            group: The targets.
        """
        self._group = group
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiters)

    def enter_now(self, attempt: Attempt) -> TargetState | None:
        """Admits a request if it need not wait.

        Args:
            attempt: The attempt to admit.

        Returns:
            The target, in which the attempt is counted until its `leave` is
            called; None where there is none with room.
        """
        if self._waiters:
            return None
        state = self._group.pick(attempt)
        if state is not None:
            state.enter()
        return state

    async def enter(
        self, attempt: Attempt, until: float = math.inf
    ) -> TargetState | NotRun | StillWaiting:
        """Waits for a target that has room.

        Args:
            attempt: The attempt to admit.
            until: When to stop waiting for now, by the runtime's clock; no
                later than the request's deadline in any case.

        Returns:
            The target, in which the attempt is counted until its `leave` is
            called; else why there is none.
        """
        state = self.enter_now(attempt)
        if state is not None:
            return state
        if self._group.is_empty:
            return NotRun(Reason.NO_TARGET, retry_after_seconds=1.0)
        waiter = self._waiter(attempt)
        refused = self._refuse_on_arrival(waiter)
        if refused is not None:
            return refused
        bisect.insort(self._waiters, waiter)
        return await self._wait(waiter, until)

    def admit(self) -> None:
        """Admits those who wait, as far as there is room."""
        while self._waiters:
            state = self._group.pick(self._waiters[0].attempt)
            if state is None:
                return
            waiter = self._waiters.pop(0)
            if waiter.admitted.done():
                continue
            if self._is_late(waiter):
                waiter.admitted.set_result(self._overloaded(0))
                continue
            state.enter()
            waiter.admitted.set_result(state)

    def _waiter(self, attempt: Attempt) -> Waiter:
        request = attempt.request
        return Waiter(
            -int(request.kind.urgency),
            request.deadline,
            next(self._numbers),
            attempt,
            asyncio.get_running_loop().create_future(),
        )

    def _refuse_on_arrival(self, waiter: Waiter) -> NotRun | None:
        ahead = bisect.bisect(self._waiters, waiter)
        if self._is_late(waiter, self._expected_wait(ahead)):
            return self._overloaded(ahead)
        if len(self._waiters) < WAITERS_AT_MOST:
            return None
        if ahead == len(self._waiters):
            return self._overloaded(ahead)
        last = self._waiters.pop()
        if not last.admitted.done():
            last.admitted.set_result(self._overloaded(ahead))
        return None

    def _expected_wait(self, ahead: int) -> float:
        rate = self._group.rate
        return (ahead + 1) / rate if rate else 0.0

    def _is_late(self, waiter: Waiter, wait: float = 0.0) -> bool:
        now = asyncio.get_running_loop().time()
        return now + wait + self._group.expected_latency > waiter.deadline

    async def _wait(
        self, waiter: Waiter, until: float
    ) -> TargetState | NotRun | StillWaiting:
        try:
            async with asyncio.timeout_at(min(until, waiter.deadline)):
                return await waiter.admitted
        except TimeoutError:
            if waiter.admitted.done() and not waiter.admitted.cancelled():
                return waiter.admitted.result()
            self._forget(waiter)
            if until < waiter.deadline:
                return StillWaiting()
            return self._overloaded(0)
        except asyncio.CancelledError:
            self._forget(waiter)
            if waiter.admitted.done() and not waiter.admitted.cancelled():
                self._give_back(waiter.admitted.result())
            raise

    def _forget(self, waiter: Waiter) -> None:
        place = bisect.bisect_left(self._waiters, waiter)
        if place < len(self._waiters) and self._waiters[place] is waiter:
            del self._waiters[place]

    def _give_back(self, admitted: TargetState | NotRun) -> None:
        if not isinstance(admitted, NotRun):
            admitted.leave()

    def _overloaded(self, ahead: int) -> NotRun:
        return NotRun(
            Reason.OVERLOADED,
            "no target can answer before the deadline",
            max(RETRY_AFTER_AT_LEAST_SECONDS, self._expected_wait(ahead)),
        )
