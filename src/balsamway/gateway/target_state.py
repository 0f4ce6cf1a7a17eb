"""The state of one target, as this gateway measured it."""

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
"""The weight of the newest response in the average latency."""
SLOW_START_SECONDS = 5.0
"""How long a target that joined gets less than its share of requests."""
INITIAL_SLOW_START_FRACTION = 0.1
"""The fraction of its share that a target gets when it has just joined."""
INITIAL_BACKOFF_LATENCIES = 0.5
"""The first backoff after a refusal, in average latencies."""
MAX_BACKOFF_LATENCIES = 4.0
"""The maximum backoff, in average latencies."""
MIN_BACKOFF_SECONDS = 0.001
"""The minimum backoff, before it is randomized."""
MAX_BACKOFF_SECONDS = 0.1
"""The maximum backoff."""
FAILURES_TO_EJECT = 3
"""The number of consecutive failures after which a target is failing."""


class TargetState:
    """The state of one target, as this gateway measured it.

    The gateway relies on its own measurements, not on what targets report of
    their load.
    """

    def __init__(
        self, host: Host, connection_limit: int, joined_at: float, rng: random.Random
    ) -> None:
        """Initialize the state of a target that no request was sent to.

        Args:
            host: The target.
            connection_limit: This gateway's share of the target's connections.
            joined_at: When the target joined, in event loop time. Minus
                infinity if it was there before this gateway.
            rng: The random source for the duration of backoffs.
        """
        self.host = host
        self.limit = ConcurrencyLimit(connection_limit)
        self.admission: Admission | None = None
        """The queue of requests for this target, once there is one."""
        self.ejected_until = 0.0
        self.ejections = 0
        self._rng = rng
        self._joined_at = joined_at
        self._in_flight = 0
        self._backoff_until = 0.0
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
        """The moving average of the time to a response, in seconds."""
        return self._latency

    @property
    def in_flight(self) -> int:
        """The number of this gateway's requests in flight to the target."""
        return self._in_flight

    @property
    def responses_per_second(self) -> float:
        """The responses per second that the limit allows, 0 if unknown."""
        return self.limit.value / self._latency if self._latency else 0.0

    @property
    def has_capacity(self) -> bool:
        """Whether a request may be sent at once."""
        return (
            self._in_flight < self.limit.value
            and self._backoff_until <= asyncio.get_running_loop().time()
        )

    @property
    def is_failing(self) -> bool:
        """Whether the last attempts have all failed."""
        return self._failures >= FAILURES_TO_EJECT

    def acquire(self) -> None:
        """Count a request that is about to be sent."""
        self._in_flight += 1

    def release(self) -> None:
        """Count the end of a request and admit waiting ones."""
        self._in_flight -= 1
        if self.admission is not None:
            self.admission.admit_waiting()

    def slow_start_fraction(self, now: float) -> float:
        """Return the fraction of its share that a target gets.

        Args:
            now: The current event loop time.

        Returns:
            The fraction. It rises from `INITIAL_SLOW_START_FRACTION` to 1
            after the target has joined.
        """
        return min(
            1.0,
            max(
                INITIAL_SLOW_START_FRACTION,
                (now - self._joined_at) / SLOW_START_SECONDS,
            ),
        )

    def record_outcome(self, verdict: Verdict, seconds: float) -> None:
        """Record an attempt that has ended.

        Args:
            verdict: The verdict on the attempt.
            seconds: The time from sending the attempt to its end.
        """
        now = asyncio.get_running_loop().time()
        match verdict:
            case Completed():
                self._record_response(seconds, now)
            case NotRun(reason=Reason.TARGET_SHED):
                self._record_shed(now)
            case NotRun(reason=Reason.CONNECT_FAILED) as failed:
                self._record_failure(failed.reason)
                self._back_off()
            case MayHaveRun(reason=reason):
                self._record_failure(reason)
            case NotRun(reason=reason):
                self._last_reason = reason

    def eject(self, until: float) -> None:
        """Eject the target. It starts slowly again after the ejection.

        Args:
            until: When the ejection ends, in event loop time.
        """
        self.ejected_until = until
        self.ejections += 1
        self._joined_at = until
        self._failures = 0
        self._latency = 0.0

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
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

    def _record_response(self, seconds: float, now: float) -> None:
        self._failures = 0
        self._refusals = 0
        self.ejections = 0
        self._busy_seconds += seconds
        if self._latency:
            self._latency += LATENCY_WEIGHT * (seconds - self._latency)
        else:
            self._latency = seconds
        self.limit.on_response(seconds, self._latency, self._in_flight, now)

    def _record_shed(self, now: float) -> None:
        self._last_reason = Reason.TARGET_SHED
        self.limit.on_shed(self._latency, now)
        self._back_off()

    def _record_failure(self, reason: Reason) -> None:
        self._last_reason = reason
        self._failures += 1

    def _back_off(self) -> None:
        """Send nothing for a time that doubles with consecutive refusals."""
        latencies = INITIAL_BACKOFF_LATENCIES * 2 ** min(self._refusals, 16)
        seconds = self._latency * min(MAX_BACKOFF_LATENCIES, latencies)
        seconds = max(MIN_BACKOFF_SECONDS, seconds) * self._rng.uniform(0.5, 1.5)
        self._refusals += 1
        loop = asyncio.get_running_loop()
        self._backoff_until = loop.time() + min(MAX_BACKOFF_SECONDS, seconds)
        loop.call_at(self._backoff_until, self._end_backoff)

    def _end_backoff(self) -> None:
        if self.admission is not None:
            self.admission.admit_waiting()
