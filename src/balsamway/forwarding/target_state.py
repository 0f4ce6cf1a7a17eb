"""The load, latency and failures of a target, as this host sees them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.offered_bytes import OfferedBytes
from balsamway.forwarding.target_rest import TargetRest
from balsamway.forwarding.work_separation import position_of
from balsamway.limits import ColdTarget, TargetLimit
from balsamway.pace.experience import Experience
from balsamway.pace.pace_limit import PaceLimit

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.evacuation import Evacuation
    from balsamway.exchange import ConnectionPool

LATENCY_WEIGHT = 0.15
"""The weight of the newest response in the mean latency, from 0 to 1."""
FAILURE_WEIGHT = 0.15
"""The weight of the newest attempt in the failure rate, from 0 to 1."""
FAILURE_DECAY_SECONDS = 8.0
"""The time constant with which the failure rate decays without attempts."""
SHED_BACKOFF_SECONDS = 0.15
"""The backoff of a target that refused a request for lack of capacity."""
MIN_UNREACHABLE_BACKOFF_SECONDS = 0.3
"""The backoff of a target after the first attempt without a connection. It
doubles with each further one."""
MAX_UNREACHABLE_BACKOFF_SECONDS = 2.0
"""Bounds the backoff of a target that accepts no connection."""
DRAIN_FRACTION = 0.25
"""The fraction of its drain time in which a draining target still receives
requests for the keys that it owns. It is counted from when this host learned
of the drain, and the remainder allows for the delay until then."""
LEAVING_FRACTION = 0.8
"""The same fraction for a target that said itself that it is leaving, counted
from when it said so. It is larger because that moment is known."""
WARM_UP_FACTOR = 2.0
"""How many times slower a target is assumed to be during its warm-up."""

JUST_STARTED_SECONDS = 5.0
"""How long a target counts as just started. The leader decides about its pace
within a second, or a new leader within this time."""


class TargetState:
    """Counts requests in flight and tracks a target's latency and failures."""

    def __init__(
        self,
        entry: TargetEntry,
        pool: ConnectionPool,
        drain_seconds: float,
        cold: ColdTarget | None = None,
    ) -> None:
        """Start without any observation.

        Args:
            entry: The target's entry in the directory.
            pool: The connections to the target.
            drain_seconds: The time within which the target must stop receiving
                new requests after it began to drain.
            cold: How long the target is cold; None to take it from the entry.
        """
        self._drain_seconds = drain_seconds
        self._draining_since = now() if entry.is_draining else None
        self.leaving_since: float | None = None
        """When the target said that it is leaving, in event loop time."""
        self.evacuation: Evacuation | None = None
        """The evacuation of the target's zone; None if it is not evacuated."""
        self.entry = entry
        self.position = position_of(entry.name)
        """The target's position in an order that all hosts share."""
        self.pool = pool
        self.limit = TargetLimit(entry.name)
        self.cold = cold or ColdTarget(entry.warmup_seconds, is_observed=False)
        self.pace = PaceLimit()
        self.experience = Experience()
        self._seen_start_at = -math.inf
        self.rest = TargetRest(entry.name)
        self.offered = OfferedBytes()
        self.in_flight = 0
        self.remote_in_flight = 0.0
        """The mean number of requests from other entry hosts in flight."""
        self.service_seconds: float | None = None
        """The service time that all hosts' reports give, None if unknown."""
        self.latency_seconds: float | None = None
        """The moving mean of this host's latencies, None before the first."""
        self._failure_rate = 0.0
        self._failure_rate_at = now()
        self._backoff_until = -math.inf
        self._consecutive_unreachable = 0
        self._warm_up_ends_at = now() + entry.warmup_seconds
        self.answered = 0
        """The number of responses since the last report."""
        self.unqueued_responses = 0
        """The number of these whose request waited in no queue."""
        self.unqueued_seconds = 0.0
        """The sum of the latencies of the unqueued responses, in seconds."""

    @property
    def requests_per_second(self) -> float | None:
        """The lowest limit of all hosts together, None if there is none."""
        limits = (
            self.limit.requests_per_second,
            self.cold.limit,
            self.pace.limit,
        )
        return min((limit for limit in limits if limit is not None), default=None)

    @property
    def has_just_started(self) -> bool:
        """Whether this host saw the target start within the last seconds."""
        return now() - self._seen_start_at < JUST_STARTED_SECONDS

    def on_start_seen(self) -> None:
        """Record that the target's first entry was written just now."""
        self._seen_start_at = now()

    @property
    def is_drain_expired(self) -> bool:
        """Whether the target must receive no request, not even for its keys.

        It has drained, or its zone is evacuated, for too long.
        """
        if self.evacuation is not None and not self.evacuation.may_receive(True):
            return True
        return self._has_expired(self._draining_since, DRAIN_FRACTION) or (
            self._has_expired(self.leaving_since, LEAVING_FRACTION)
        )

    def _has_expired(self, since: float | None, fraction: float) -> bool:
        return since is not None and now() - since > fraction * self._drain_seconds

    def may_receive(self, is_key_owner: bool) -> bool:
        """Return whether a request may be sent to the target now.

        Args:
            is_key_owner: Whether the target owns the key of the request, so
                that no other can serve it.
        """
        if self.entry.is_draining and not is_key_owner:
            return False
        if self.evacuation is not None and not is_key_owner:
            return False
        return self.rest.allows_request and not self.is_drain_expired

    @property
    def may_be_last_choice(self) -> bool:
        """Whether the target is leaving, but may still receive requests."""
        return (
            not self.entry.is_draining
            and not self.is_drain_expired
            and self.evacuation is None
        )

    @property
    def is_in_backoff(self) -> bool:
        """Whether the target is used only if no other can serve."""
        return now() < self._backoff_until

    @property
    def backoff_until(self) -> float:
        """When the target is expected to serve again, in event loop time.

        A target that was unreachable more than once is not expected back
        sooner than its keys can have another owner.
        """
        if self._consecutive_unreachable > 1:
            return self._backoff_until + MAX_UNREACHABLE_BACKOFF_SECONDS
        return self._backoff_until

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempt could not open a connection."""
        return self._consecutive_unreachable > 0

    @property
    def failure_rate(self) -> float:
        """The fraction of failed attempts, which decays without attempts."""
        return self._failure_rate * math.exp(
            (self._failure_rate_at - now()) / FAILURE_DECAY_SECONDS
        )

    @property
    def warm_up_factor(self) -> float:
        """How many times slower than usual the target is assumed to be."""
        return WARM_UP_FACTOR if now() < self._warm_up_ends_at else 1.0

    def dump(self) -> dict[str, object]:
        """Return why the target receives no requests, for the state dump."""
        since = self.leaving_since
        return {
            "incarnation": self.entry.incarnation,
            "leaving_seconds": None if since is None else round(now() - since, 3),
            "is_evacuated": self.evacuation is not None,
            "rest_seconds": round(self.rest.remaining_seconds, 3),
            "offered_bytes": self.offered.total,
            "may_receive": self.may_receive(is_key_owner=True),
        }

    def update(self, entry: TargetEntry) -> None:
        """Apply a changed entry of the same target.

        Args:
            entry: The current entry.
        """
        if entry.is_draining and self._draining_since is None:
            self._draining_since = now()
        if entry.warmup_seconds != self.entry.warmup_seconds:
            self._warm_up_ends_at = now() + entry.warmup_seconds
        # Each entry that arrives is an object of its own.
        if entry is not self.entry:
            self.cold.on_entry(entry.warmup_seconds)
        self.entry = entry

    @property
    def has_free_slot(self) -> bool:
        """Whether a request that is sent now should not be queued."""
        return self.in_flight + self.remote_in_flight < self.entry.capacity

    def record_attempt(
        self, outcome: AttemptOutcome, seconds: float, was_unqueued: bool
    ) -> None:
        """Record the end of an attempt at the target.

        Args:
            outcome: The outcome of the attempt.
            seconds: The latency of the attempt, scaled to the service's mean
                service time.
            was_unqueued: Whether a slot was free when the request was sent, as
                far as this host knew.
        """
        self.experience.record(outcome, seconds)
        match outcome:
            case AttemptOutcome.SERVED:
                self._consecutive_unreachable = 0
                self._add_failure(0.0)
                self._add_latency(seconds, was_unqueued)
            case AttemptOutcome.SHED | AttemptOutcome.CONNECTION_REFUSED:
                self._consecutive_unreachable = 0
                self._backoff_until = now() + SHED_BACKOFF_SECONDS
            case AttemptOutcome.UNREACHABLE:
                self._on_unreachable()
            case AttemptOutcome.WRONG_TARGET:
                self._on_unreachable()
            case (
                AttemptOutcome.KEY_NOT_HELD
                | AttemptOutcome.STALE_CONNECTION
                | AttemptOutcome.WITHHELD
                | AttemptOutcome.BODY_BROKEN
            ):
                pass
            case AttemptOutcome.FAILED:
                self._consecutive_unreachable = 0
                self._add_failure(1.0)
                self._add_latency(seconds, was_unqueued)
            case AttemptOutcome.CONNECTION_LOST | AttemptOutcome.TIMED_OUT:
                self._add_failure(1.0)

    def _on_unreachable(self) -> None:
        self._consecutive_unreachable += 1
        backoff_seconds = MIN_UNREACHABLE_BACKOFF_SECONDS * 2 ** (
            self._consecutive_unreachable - 1
        )
        self._backoff_until = now() + min(
            MAX_UNREACHABLE_BACKOFF_SECONDS, backoff_seconds
        )

    def take_counts(self) -> tuple[int, int, int, int]:
        """Return the counts for a load report, and reset them.

        Returns:
            The number of requests in flight, the number of responses, the
            number of unqueued responses and the sum of their latencies in
            milliseconds.
        """
        counts = (
            self.in_flight,
            self.answered,
            self.unqueued_responses,
            round(1000 * self.unqueued_seconds),
        )
        self.answered = self.unqueued_responses = 0
        self.unqueued_seconds = 0.0
        return counts

    def _add_latency(self, seconds: float, was_unqueued: bool) -> None:
        self.answered += 1
        if was_unqueued:
            self.unqueued_responses += 1
            self.unqueued_seconds += seconds
        if self.latency_seconds is None:
            self.latency_seconds = seconds
            return
        self.latency_seconds += LATENCY_WEIGHT * (seconds - self.latency_seconds)

    def _add_failure(self, failed: float) -> None:
        rate = self.failure_rate
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_rate_at = now()
