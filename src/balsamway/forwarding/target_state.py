"""What this host has seen of a target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.exchange import ConnectionPool

LATENCY_WEIGHT = 0.15
"""The weight of the newest answer in the mean latency."""
FAILURE_WEIGHT = 0.15
"""The weight of the newest attempt in the failure rate."""
FORGET_SECONDS = 8.0
"""How fast the failure rate fades without attempts."""
SHED_SECONDS = 0.15
"""How long a target that refused for want of room is passed over."""
FIRST_AVOID_SECONDS = 0.3
LONGEST_AVOID_SECONDS = 2.0
"""How long a target without a connection is passed over, doubling."""
DRAIN_SHARE = 0.25
"""The part of its time to drain, from when this host learnt of it, in which a
target still gets requests for the keys that it holds; the rest allows for how
late that is learnt."""
COLD_FACTOR = 2.0
"""How much slower a target is taken to be during its warm-up."""


class TargetState:
    """Counts what is in flight and follows latency and failures."""

    def __init__(
        self, entry: TargetEntry, pool: ConnectionPool, drain_seconds: float
    ) -> None:
        """Starts without any observation.

        Args:
            entry: The target.
            pool: The connections to it.
            drain_seconds: How soon it must get nothing new once it drains.
        """
        self._drain_seconds = drain_seconds
        self._draining_since = now() if entry.is_draining else None
        self.entry = entry
        self.pool = pool
        self.in_flight = 0
        self.remote_in_flight = 0.0
        """The requests of other entry hosts there, on average."""
        self.service_seconds: float | None = None
        """How long a request takes without a queue, by all hosts' reports."""
        self.latency_seconds: float | None = None
        self._failure_rate = 0.0
        self._failure_at = now()
        self._avoid_until = -math.inf
        self._unreachable_in_a_row = 0
        self._warm_at = now() + entry.warmup_seconds
        self.answered = 0
        """The answers since the last report."""
        self.prompt_answers = 0
        """Those of them whose request found no queue."""
        self.prompt_seconds = 0.0
        """The latencies of those, summed."""

    @property
    def has_left(self) -> bool:
        """Whether it has drained for so long that it must get nothing."""
        since = self._draining_since
        return since is not None and now() - since > DRAIN_SHARE * self._drain_seconds

    @property
    def is_avoided(self) -> bool:
        """Whether it is passed over where another target can serve."""
        return now() < self._avoid_until

    @property
    def avoided_until(self) -> float:
        """Until when it is passed over, by the runtime's clock.

        One without a connection is not expected back sooner than its keys
        can have another holder.
        """
        if self._unreachable_in_a_row > 1:
            return self._avoid_until + LONGEST_AVOID_SECONDS
        return self._avoid_until

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempts found no connection."""
        return self._unreachable_in_a_row > 0

    @property
    def failure_rate(self) -> float:
        """The share of failed attempts, fading while there are none."""
        return self._failure_rate * math.exp(
            (self._failure_at - now()) / FORGET_SECONDS
        )

    @property
    def cold_factor(self) -> float:
        """How much slower than usual it is taken to be."""
        return COLD_FACTOR if now() < self._warm_at else 1.0

    def update(self, entry: TargetEntry) -> None:
        """Takes over a changed entry of the same target.

        Args:
            entry: The entry as it is now.
        """
        if entry.is_draining and self._draining_since is None:
            self._draining_since = now()
        if entry.warmup_seconds != self.entry.warmup_seconds:
            self._warm_at = now() + entry.warmup_seconds
        self.entry = entry

    @property
    def has_free_slot(self) -> bool:
        """Whether a request sent now should find no queue."""
        return self.in_flight + self.remote_in_flight < self.entry.capacity

    def observe(
        self, outcome: AttemptOutcome, seconds: float, was_prompt: bool
    ) -> None:
        """Takes in the end of an attempt.

        Args:
            outcome: What the attempt says of the target.
            seconds: How long it would have taken with the service's mean work.
            was_prompt: Whether a slot seemed free when it was sent.
        """
        match outcome:
            case AttemptOutcome.SERVED:
                self._unreachable_in_a_row = 0
                self._add_failure(0.0)
                self._add_latency(seconds, was_prompt)
            case AttemptOutcome.SHED:
                self._unreachable_in_a_row = 0
                self._avoid_until = now() + SHED_SECONDS
            case AttemptOutcome.UNREACHABLE:
                self._on_unreachable()
            case AttemptOutcome.WRONG_TARGET:
                self._on_unreachable()
            case AttemptOutcome.KEY_NOT_HELD | AttemptOutcome.STALE_CONNECTION:
                pass
            case AttemptOutcome.FAILED:
                self._unreachable_in_a_row = 0
                self._add_failure(1.0)
                self._add_latency(seconds, was_prompt)
            case AttemptOutcome.CONNECTION_LOST | AttemptOutcome.TIMED_OUT:
                self._add_failure(1.0)

    def _on_unreachable(self) -> None:
        self._unreachable_in_a_row += 1
        doubled = FIRST_AVOID_SECONDS * 2 ** (self._unreachable_in_a_row - 1)
        self._avoid_until = now() + min(LONGEST_AVOID_SECONDS, doubled)

    def take_counts(self) -> tuple[int, int, int, int]:
        """Gives what a report says, and begins to count anew.

        Returns:
            The requests in flight, the answers, and the number and summed
            milliseconds of the answers that found no queue.
        """
        counts = (
            self.in_flight,
            self.answered,
            self.prompt_answers,
            round(1000 * self.prompt_seconds),
        )
        self.answered = self.prompt_answers = 0
        self.prompt_seconds = 0.0
        return counts

    def _add_latency(self, seconds: float, was_prompt: bool) -> None:
        self.answered += 1
        if was_prompt:
            self.prompt_answers += 1
            self.prompt_seconds += seconds
        if self.latency_seconds is None:
            self.latency_seconds = seconds
            return
        self.latency_seconds += LATENCY_WEIGHT * (seconds - self.latency_seconds)

    def _add_failure(self, failed: float) -> None:
        rate = self.failure_rate
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_at = now()
