"""The load, latency and failures of a target, as this host sees them."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.offered_bytes import OfferedBytes
from balsamway.forwarding.target_choice import DEFAULT_SERVICE_SECONDS
from balsamway.forwarding.target_reset import (
    is_refusal_for_fullness,
    is_reset_of_request,
)
from balsamway.forwarding.target_rest import TargetRest
from balsamway.forwarding.work_separation import position_of
from balsamway.limits import ColdTarget, TargetLimit
from balsamway.occupancy import RemoteCount, ServiceRoom, TargetOccupancy
from balsamway.pace.experience import Experience
from balsamway.pace.pace_limit import PaceLimit

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.evacuation import Evacuation
    from balsamway.exchange import ConnectionPool
    from balsamway.forwarding.attempt_result import AttemptResult

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
PEAK_NOTICES = 4
"""The number of notices in which a full target's requests are looked for."""
RESET_NOTICES = 2
"""The number of these that arrive after the reset. Its requests at that moment
are counted in the next one or two."""
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
        room: ServiceRoom | None = None,
    ) -> None:
        """Start without any observation.

        Args:
            entry: The target's entry in the directory.
            pool: The connections to the target.
            drain_seconds: The time within which the target must stop receiving
                new requests after it began to drain.
            cold: How long the target is cold; None to take it from the entry.
            room: The learned room of the target's service. Without one, the
                target has its own.
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
        self._remote_count = RemoteCount(0.0, now())
        self._recent_in_flight: deque[float] = deque(maxlen=PEAK_NOTICES)
        """The requests of all hosts, as the last notices counted them."""
        self._notices_until_learned = 0
        """After how many notices the last reset is evaluated; 0 if none is."""
        self.occupancy = TargetOccupancy(entry.name, room or ServiceRoom(entry.service))
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
    def remote_in_flight(self) -> float:
        """The mean number of requests from other entry hosts in flight."""
        return self._remote_count.requests

    @remote_in_flight.setter
    def remote_in_flight(self, requests: float) -> None:
        interval_seconds = now() - self._remote_count.received_at
        self._remote_count = RemoteCount(requests, now(), interval_seconds)
        self._recent_in_flight.append(self.in_flight + requests)
        if self._notices_until_learned:
            self._notices_until_learned -= 1
            if not self._notices_until_learned:
                self._learn_from_reset()

    @property
    def known_in_flight(self) -> float:
        """The requests in flight of all hosts, with the target's report."""
        if not self.occupancy.reports_load:
            return self.in_flight + self.remote_in_flight
        return self.estimated_in_flight

    @property
    def estimated_in_flight(self) -> float:
        """The requests at the target, as far as the counts are current."""
        return self.occupancy.estimate(
            self.in_flight, self._remote_count, self.entry.capacity
        )

    @property
    def is_full(self) -> bool:
        """Whether the target is estimated to refuse any further request."""
        return self.room_fraction(is_repeatable=True) <= 0.0

    def room_fraction(self, is_repeatable: bool) -> float:
        """Return the fraction of the requests that the target has room for.

        Args:
            is_repeatable: Whether the request may be sent again after a reset.
        """
        room = self.occupancy.room
        if room.shared is None:
            return 1.0
        return room.fraction(
            self.estimated_in_flight,
            self.entry.capacity,
            is_repeatable,
            self._count_deviation,
        )

    def seconds_until_room(self, is_repeatable: bool) -> float:
        """Return when the target is expected to have room for a request.

        Args:
            is_repeatable: Whether the request may be sent again after a reset.
        """
        excess = self.estimated_in_flight + 1.0 - self._room_limit(is_repeatable)
        return max(0.0, excess) / self.completions_per_second

    @property
    def _peak_in_flight(self) -> float:
        """The most requests in the last notices, as one may miss the peak."""
        return max(self._recent_in_flight, default=0.0)

    @property
    def _usual_seconds(self) -> float:
        return self.service_seconds or self.latency_seconds or DEFAULT_SERVICE_SECONDS

    @property
    def completions_per_second(self) -> float:
        """The requests that the target completes while all slots are used."""
        seconds = self._usual_seconds * self.occupancy.slowdown
        return max(1, self.entry.capacity) / seconds

    @property
    def _count_deviation(self) -> float:
        """The standard deviation of the counted requests at the target.

        A busy target receives about as many requests as it completes while the
        counts are on their way. The variance of the difference is their sum.
        """
        age_seconds = self._remote_count.age_seconds
        return math.sqrt(2.0 * self.completions_per_second * age_seconds)

    def _room_limit(self, is_repeatable: bool) -> float:
        return self.occupancy.room.limit(
            self.entry.capacity, is_repeatable, self._count_deviation
        )

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
        if not self.rest.allows_request:
            return False
        return not self.is_drain_expired if is_key_owner else self.is_available

    @property
    def is_available(self) -> bool:
        """Whether requests that any target can serve may be sent to this one.

        A target that rests is available again after its rest.
        """
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
            "estimated_in_flight": round(self.estimated_in_flight, 1),
            "is_full": self.is_full,
            "load": self.occupancy.dump(),
        }

    def update(self, entry: TargetEntry) -> None:
        """Apply a changed entry of the same target.

        Args:
            entry: The current entry.
        """
        if not entry.is_draining:
            self._draining_since = None
        elif self._draining_since is None:
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

    def record_occupancy(
        self,
        result: AttemptResult,
        in_flight_at_send: float,
        seconds: float,
        is_repeatable: bool,
    ) -> None:
        """Learn from the end of an attempt how many requests are too many.

        Args:
            result: The result of the attempt.
            in_flight_at_send: The estimated requests at the target when the
                attempt began.
            seconds: The latency of the attempt.
            is_repeatable: Whether the request may be sent again after a reset.
        """
        self.occupancy.on_load(result.load, self.in_flight)
        room, capacity = self.occupancy.room, self.entry.capacity
        if result.outcome is AttemptOutcome.SERVED:
            room.on_served(in_flight_at_send, self._room_limit(is_repeatable), capacity)
            return
        known = max(in_flight_at_send, self._peak_in_flight)
        if known < capacity:
            return
        if is_refusal_for_fullness(result) and self.occupancy.reports_load:
            known = self.occupancy.reported_within_bounds(result.load, known, capacity)
            room.on_refused(self.entry.name, known, capacity)
        elif is_reset_of_request(result, seconds):
            self._notices_until_learned = self._notices_until_learned or RESET_NOTICES
        else:
            return
        self.occupancy.on_full(
            self.in_flight, self._remote_count, capacity, self._usual_seconds
        )

    def _learn_from_reset(self) -> None:
        requests, capacity = self._peak_in_flight, self.entry.capacity
        if requests >= capacity and not self.is_unreachable:
            self.occupancy.room.on_reset(self.entry.name, requests, capacity)

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
