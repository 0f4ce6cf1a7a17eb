"""What this gateway has seen of one target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.concurrency_limit import ConcurrencyLimit
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    import random

    from balsamway.gateway.admission import Admission
    from balsamway.outcome import Verdict
    from balsamway.store import Host

LATENCY_WEIGHT = 0.1
"""The weight of the newest answer in the average latency."""
RAMP_SECONDS = 5.0
"""How long a target that joined is given less than its share."""
RAMP_START = 0.1
PAUSE_LATENCIES = 0.5
"""The first pause after a refusal, in latencies."""
PAUSE_LATENCIES_AT_MOST = 4.0
PAUSE_AT_LEAST_SECONDS = 0.001
PAUSE_AT_MOST_SECONDS = 0.1
FAILURES_TO_EJECT = 3


class TargetState:
    """What this gateway has seen of one target; it outweighs reports."""

    def __init__(
        self, host: Host, ceiling: int, joined_at: float, rng: random.Random
    ) -> None:
        """Makes the state of a target that nothing was sent to.

        Args:
            host: The target.
            ceiling: This gateway's share of the target's connections.
            joined_at: When the target joined, by the runtime's clock; minus
                infinity for one that was there before this gateway.
            rng: Draws the length of pauses.
        """
        self.host = host
        self.limit = ConcurrencyLimit(ceiling)
        self.admission: Admission | None = None
        """The queue that waits for this target, once there is one."""
        self.ejected_until = 0.0
        self.ejections = 0
        self._rng = rng
        self._joined_at = joined_at
        self._in_flight = 0
        self._paused_until = 0.0
        self._latency = 0.0
        self._busy_seconds = 0.0
        self._failures = 0
        self._refusals = 0
        self._last_reason = ""

    @property
    def name(self) -> str:
        """The target's name."""
        return self.host.name

    @property
    def latency(self) -> float:
        """The moving average of the time to an answer, in seconds."""
        return self._latency

    @property
    def in_flight(self) -> int:
        """How many requests of this gateway the target has."""
        return self._in_flight

    @property
    def rate(self) -> float:
        """How many answers a second the limit allows; 0 for unknown."""
        return self.limit.value / self._latency if self._latency else 0.0

    @property
    def has_room(self) -> bool:
        """Whether a request may be sent at once."""
        return (
            self._in_flight < self.limit.value
            and self._paused_until <= asyncio.get_running_loop().time()
        )

    @property
    def is_failing(self) -> bool:
        """Whether the last attempts have all failed."""
        return self._failures >= FAILURES_TO_EJECT

    def enter(self) -> None:
        """Counts a request that is about to be sent."""
        self._in_flight += 1

    def leave(self) -> None:
        """Counts the end of a request, and admits the next."""
        self._in_flight -= 1
        if self.admission is not None:
            self.admission.admit()

    def ramp(self, now: float) -> float:
        """Tells what part of its share a target is given.

        Args:
            now: The runtime's clock.

        Returns:
            From `RAMP_START` for one that has just joined up to 1.
        """
        return min(1.0, max(RAMP_START, (now - self._joined_at) / RAMP_SECONDS))

    def observe(self, verdict: Verdict, seconds: float) -> None:
        """Counts an attempt that has ended.

        Args:
            verdict: What became of it.
            seconds: The time from sending to its end.
        """
        now = asyncio.get_running_loop().time()
        match verdict:
            case Completed():
                self._observe_answer(seconds, now)
            case NotRun(reason=Reason.TARGET_SHED):
                self._observe_shed(now)
            case NotRun(reason=Reason.CONNECT_FAILED) as failed:
                self._observe_failure(failed.reason)
                self._pause()
            case MayHaveRun(reason=reason):
                self._observe_failure(reason)
            case NotRun(reason=reason):
                self._last_reason = reason

    def eject(self, until: float) -> None:
        """Leaves the target out for a while, after which it joins anew.

        Args:
            until: When it joins, by the runtime's clock.
        """
        self.ejected_until = until
        self.ejections += 1
        self._joined_at = until
        self._failures = 0
        self._latency = 0.0

    def dump(self) -> dict[str, object]:
        """Gives the state for the state dump."""
        return {
            "target": self.name,
            "zone": self.host.zone,
            "state": self.host.state,
            "latency_seconds": self._latency,
            "busy_seconds": self._busy_seconds,
            "failures": self._failures,
            "ejected_until": self.ejected_until,
            "last_reason": self._last_reason,
            "in_flight": self._in_flight,
            "limit": self.limit.value,
            "waiting": self.admission.waiting if self.admission else 0,
        }

    def _observe_answer(self, seconds: float, now: float) -> None:
        self._failures = 0
        self._refusals = 0
        self.ejections = 0
        self._busy_seconds += seconds
        if self._latency:
            self._latency += LATENCY_WEIGHT * (seconds - self._latency)
        else:
            self._latency = seconds
        self.limit.on_answer(seconds, self._latency, self._in_flight, now)

    def _observe_shed(self, now: float) -> None:
        self._last_reason = Reason.TARGET_SHED
        self.limit.on_shed(self._latency, now)
        self._pause()

    def _observe_failure(self, reason: Reason) -> None:
        self._last_reason = reason
        self._failures += 1

    def _pause(self) -> None:
        """Sends nothing for a while, longer after each refusal in a row."""
        latencies = PAUSE_LATENCIES * 2 ** min(self._refusals, 16)
        seconds = self._latency * min(PAUSE_LATENCIES_AT_MOST, latencies)
        seconds = max(PAUSE_AT_LEAST_SECONDS, seconds) * self._rng.uniform(0.5, 1.5)
        self._refusals += 1
        loop = asyncio.get_running_loop()
        self._paused_until = loop.time() + min(PAUSE_AT_MOST_SECONDS, seconds)
        loop.call_at(self._paused_until, self._resume)

    def _resume(self) -> None:
        if self.admission is not None:
            self.admission.admit()
