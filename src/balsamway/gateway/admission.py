"""Admits requests to one server, and lets the others wait."""

from __future__ import annotations

import asyncio
import bisect
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.gateway.waiter import Waiter
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.configuration import Urgency
    from balsamway.gateway.concurrency_limit import ConcurrencyLimit

WAITERS_AT_MOST = 256
RETRY_AFTER_AT_LEAST_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StillWaiting:
    """The request was not admitted yet, and not refused either."""


class Admission:
    """Admits requests to one server by urgency, then by deadline.

    A request that cannot be answered by its deadline is refused at once, and
    so is the least urgent one of too many that wait.
    """

    def __init__(
        self, limit: ConcurrencyLimit, expected_latency: Callable[[], float]
    ) -> None:
        """Makes the admission of a server that has no request yet.

        Args:
            limit: How many requests may be in flight at once.
            expected_latency: Tells how long an answer takes, in seconds.
        """
        self._limit = limit
        self._expected_latency = expected_latency
        self._in_flight = 0
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._paused_until = 0.0

    @property
    def in_flight(self) -> int:
        """How many requests are admitted and have not left."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiters)

    @property
    def has_room(self) -> bool:
        """Whether a request would be admitted at once."""
        return (
            not self._waiters
            and self._in_flight < self._limit.value
            and self._paused_until <= asyncio.get_running_loop().time()
        )

    async def enter(
        self, urgency: Urgency, deadline: float, until: float
    ) -> NotRun | StillWaiting | None:
        """Waits until a request may be sent; `leave` must follow.

        Args:
            urgency: The urgency of the request's kind.
            deadline: The request's deadline, by the runtime's clock.
            until: When to stop waiting for now.

        Returns:
            None once the request is admitted, else why it is not.
        """
        if self.has_room:
            self._in_flight += 1
            return None
        if self._limit.value < 1:
            return NotRun(Reason.NO_SERVER, "this host has no connection to it")
        loop = asyncio.get_running_loop()
        waiter = Waiter(
            -int(urgency), deadline, next(self._numbers), loop.create_future()
        )
        refused = self._refuse_on_arrival(waiter)
        if refused is not None:
            return refused
        bisect.insort(self._waiters, waiter)
        return await self._wait(waiter, until)

    def leave(self) -> None:
        """Ends an admitted request, and admits the next."""
        self._in_flight -= 1
        self._admit()

    def pause(self, seconds: float) -> None:
        """Admits nothing for a while.

        Args:
            seconds: How long.
        """
        loop = asyncio.get_running_loop()
        self._paused_until = max(self._paused_until, loop.time() + seconds)
        loop.call_at(self._paused_until, self._admit)

    def dump(self) -> dict[str, object]:
        """Gives the state for the state dump."""
        return {
            "in_flight": self._in_flight,
            "waiting": len(self._waiters),
            "limit": self._limit.value,
        }

    def _refuse_on_arrival(self, waiter: Waiter) -> NotRun | None:
        now = asyncio.get_running_loop().time()
        ahead = bisect.bisect(self._waiters, waiter)
        wait = self._expected_wait(ahead, now)
        if now + wait + self._expected_latency() > waiter.deadline:
            return _overloaded(wait)
        if len(self._waiters) < WAITERS_AT_MOST:
            return None
        if ahead == len(self._waiters):
            return _overloaded(wait)
        self._waiters.pop().granted.set_result(_overloaded(wait))
        return None

    def _expected_wait(self, ahead: int, now: float) -> float:
        paused = max(0.0, self._paused_until - now)
        rounds = (ahead + 1) / max(1, self._limit.value)
        return paused + rounds * self._expected_latency()

    async def _wait(self, waiter: Waiter, until: float) -> NotRun | StillWaiting | None:
        try:
            async with asyncio.timeout_at(min(until, waiter.deadline)):
                return await waiter.granted
        except TimeoutError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                return waiter.granted.result()
            self._forget(waiter)
            if until < waiter.deadline:
                return StillWaiting()
            return _overloaded(self._expected_latency())
        except asyncio.CancelledError:
            if _was_admitted(waiter):
                self.leave()
            else:
                self._forget(waiter)
            raise

    def _forget(self, waiter: Waiter) -> None:
        place = bisect.bisect_left(self._waiters, waiter)
        if place < len(self._waiters) and self._waiters[place] is waiter:
            del self._waiters[place]

    def _admit(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._paused_until:
            return
        while self._waiters and self._in_flight < self._limit.value:
            waiter = self._waiters.pop(0)
            if waiter.granted.done():
                continue
            if now + self._expected_latency() > waiter.deadline:
                waiter.granted.set_result(_overloaded(self._expected_latency()))
                continue
            self._in_flight += 1
            waiter.granted.set_result(None)


def _was_admitted(waiter: Waiter) -> bool:
    granted = waiter.granted
    return granted.done() and not granted.cancelled() and granted.result() is None


def _overloaded(retry_after_seconds: float) -> NotRun:
    return NotRun(
        Reason.OVERLOADED,
        "no server can answer before the deadline",
        max(RETRY_AFTER_AT_LEAST_SECONDS, retry_after_seconds),
    )
